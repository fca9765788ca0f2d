import assert from 'node:assert/strict';
import { createServer } from 'node:net';
import type { Server } from 'node:net';
import { After, Given, Then, When, World } from '@cucumber/cucumber';
import { freePortPair } from '@laburnumstream/bench';
import { SleepAwareClock, StoreUnavailable } from '@laburnumstream/common';
import type {
  Clock,
  DatedChanges,
  DatedFeed,
  FleetSettings,
  StoreChanges,
  StoreFeed,
} from '@laburnumstream/common';
import { FeedReaders } from '@laburnumstream/decisions';
import {
  DatedStore,
  FleetState,
  FleetWatcher,
  RegionalFeed,
  StoreMirror,
} from '@laburnumstream/forwarding';
import { storeCodec } from '@laburnumstream/platform';
import { SystemClock } from '@laburnumstream/runtime';
import { VirtualClock } from '@laburnumstream/standins';
import { eventually } from '../support/assertions.js';
import { noopLog, noopMetrics } from '../support/largeFleet.js';
import { platformBounds } from '../support/platformBounds.js';
import {
  VersionStore,
  createVersionChange,
  model,
  versionFaults,
} from '../support/versionStore.js';

interface DatesWorld extends World {
  dateClock: VirtualClock;
  dateState: FleetState;
  dateAbort: AbortController;
  /** Time at which version 2 was named, in milliseconds. */
  versionNamedAt: number;
  stillServers: Server[];
  mirror: StoreMirror;
  /** Names version 2 when the source is called. */
  nameAtCall: Promise<void>;
}

const observedMs = 10_000;
const pollMs = 50;
/** Revision of the content that all have read before. */
const firstRevision = 10;
/** Last part of the address of the first entry. */
const firstHost = 21;
const entryNames = ['front-0', 'front-1', 'front-2'] as const;

/** Starts a watcher of a feed; both of its clocks begin at 0. */
function watch(world: DatesWorld, feed: DatedFeed, clock: Clock, state: FleetState): void {
  Object.assign(world, { dateState: state, dateAbort: new AbortController() });
  const watcher = new FleetWatcher(
    feed,
    storeCodec,
    state,
    { confirm: () => undefined },
    new SleepAwareClock(clock),
    clock,
    noopMetrics,
    noopLog,
    platformBounds,
  );
  void watcher.run(world.dateAbort.signal);
}

function createState(): FleetState {
  return new FleetState(noopMetrics, noopLog, () => undefined);
}

After(function end(this: Partial<DatesWorld>) {
  this.dateAbort?.abort();
  this.stillServers?.forEach((server) => server.close());
});

Given("an entry's watcher of a store", function prepare(this: DatesWorld) {
  this.dateClock = new VirtualClock();
});

When(
  /^version 2 is named (in .+|and then .+)$/,
  async function name(this: DatesWorld, when: string) {
    const store = new VersionStore(this.dateClock, versionFaults[when]!);
    const dated = new DatedStore(store, new SleepAwareClock(this.dateClock), platformBounds);
    watch(this, dated, this.dateClock, createState());
    await this.dateClock.runUntil(observedMs);
    this.versionNamedAt = store.namedAt;
  },
);

Then('version 1 counts as outdated no later than it was', function date(this: DatesWorld) {
  const at = this.dateState.namedVersions(model)?.outdatedAt(1) ?? Infinity;
  const seen = `${Math.round(at - this.versionNamedAt)} ms after it was`;
  this.log(seen);
  assert.ok(at <= this.versionNamedAt, seen);
});

Given(
  /^an entry's watcher of another entry, from which it has read nothing for (\d+) ms$/,
  function follow(this: DatesWorld, ms: string) {
    this.dateClock = new VirtualClock();
    const { dateClock: clock } = this;
    this.mirror = new StoreMirror();
    const { mirror } = this;
    mirror.applySnapshot({ values: [], revision: firstRevision }, { changedAt: 0, unseenMs: 0 });
    const read = (revision: number) => mirror.readAfter({ revision }, clock.now(), clock.now())!;
    const feed: DatedFeed = {
      snapshot: () =>
        Promise.resolve({ values: [], revision: firstRevision, provenance: read(0).provenance }),
      changes: async (_prefix, { revision: after }, waitMs, signal): Promise<DatedChanges> => {
        if (clock.now() < Number(ms)) throw new StoreUnavailable('The source does not respond.');
        const revision = mirror.revision!;
        if (after >= revision) await clock.sleep(waitMs, signal);
        return read(after);
      },
    };
    watch(this, feed, clock, createState());
  },
);

When(
  /^version 2 is named at (\d+) ms and version 3 at (\d+) ms$/,
  async function nameBoth(this: DatesWorld, first: string, second: string) {
    this.versionNamedAt = Number(first);
    for (const [index, time] of [Number(first), Number(second)].entries()) {
      await this.dateClock.runUntil(time);
      const change = createVersionChange(index + 2);
      this.mirror.applyChanges(
        { changes: [change], revision: change.revision },
        { changedAt: time, unseenMs: 0 },
      );
      this.mirror.confirm(time);
    }
    await this.dateClock.runUntil(observedMs);
  },
);

Then(
  /^version 2 counts as outdated after (\d+) ms$/,
  function second(this: DatesWorld, ms: string) {
    const at = this.dateState.namedVersions(model)!.outdatedAt(2);
    assert.ok(at > Number(ms), `at ${Math.round(at)} ms`);
  },
);

/** The system's clocks, of which the monotonic one begins at 0. */
function startClock(): Clock {
  const system = new SystemClock();
  const startedAt = system.now();
  return {
    now: () => system.now() - startedAt,
    wall: () => system.wall(),
    sleep: (ms, signal) => system.sleep(ms, signal),
  };
}

/** A store that responds at once with what it has, or waits. */
function createStore(clock: Clock, getChanges: () => StoreChanges): StoreFeed {
  return {
    snapshot: () => Promise.resolve({ values: [], revision: firstRevision }),
    changes: async (_prefix, { revision: after }, waitMs, signal): Promise<StoreChanges> => {
      const endAt = clock.now() + waitMs;
      while (getChanges().revision <= after && clock.now() < endAt)
        await clock.sleep(pollMs, signal);
      const { changes, revision } = getChanges();
      return { changes: changes.filter((change) => change.revision > after), revision };
    },
  };
}

Given('an entry among 3 whose source stands still', async function stand(this: DatesWorld) {
  const clock = startClock();
  const named: { changes: StoreChanges['changes'] } = { changes: [] };
  const store = createStore(clock, () => ({
    changes: named.changes,
    revision: Math.max(firstRevision, ...named.changes.map(({ revision }) => revision)),
  }));
  const regions = new Map([['a', 'r']]);
  // With two readers of a region, the third entry reads from one of them.
  const self = entryNames.find((name) => {
    const readers = new FeedReaders(name, 1);
    readers.setEntries(entryNames);
    return readers.pickSource(0) !== undefined;
  })!;
  const firstPort = await freePortPair();
  const settings: FleetSettings = {
    instance: self,
    host: '127.0.0.1',
    dataCentre: 'a',
    region: 'r',
    regions,
    firstPort,
    linkBitsPerSecond: 1e9,
    store: { address: '', minLeaseMs: 1_000 },
    heartbeatMs: 1_200,
    bounds: platformBounds,
  };
  const state = createState();
  const proofClock = new SleepAwareClock(clock);
  const feed = new RegionalFeed(store, settings, state, proofClock, noopMetrics, noopLog);
  watch(this, feed, clock, state);
  await eventually(() => this.dateState === state, 'the entry watches');
  await clock.sleep(pollMs);
  this.nameAtCall = new Promise((resolve) => {
    // Each is a source that gets the call and does not answer.
    this.stillServers = entryNames.map(() =>
      createServer((socket) => {
        socket.on('error', () => undefined);
        socket.once('data', () => {
          if (named.changes.length > 0) return;
          this.versionNamedAt = clock.now();
          named.changes = [createVersionChange(2)];
          resolve();
        });
      }),
    );
  });
  for (const [index, entry] of entryNames.entries()) {
    const host = `127.0.0.${index + firstHost}`;
    const server = this.stillServers[index]!;
    await new Promise<void>((resolve) => {
      server.listen(firstPort + 1, host, () => resolve());
    });
    state.apply({ kind: 'entry', name: entry, location: { dataCentre: 'a', host } }, 0);
  }
});

When(
  'version 2 is named right after its call to the source',
  { timeout: 10_000 },
  async function nameNow(this: DatesWorld) {
    await this.nameAtCall;
    await eventually(
      () => this.dateState.namedVersions(model)?.newest === 2,
      'the entry knows the version',
    );
  },
);
