import assert from 'node:assert/strict';
import { setTimeout as sleep } from 'node:timers/promises';
import { Given, Then, When } from '@cucumber/cucumber';
import { SleepAwareClock, rendezvousOrder } from '@laburnumstream/common';
import type { StoreChange, StoreChanges, StoreFeed, StoredValue } from '@laburnumstream/common';
import { DatedStore, FleetState, FleetWatcher, StoreMirror } from '@laburnumstream/forwarding';
import { storeCodec } from '@laburnumstream/platform';
import { HistogramMetrics } from '@laburnumstream/runtime';
import { VirtualClock } from '@laburnumstream/standins';
import { platformBounds } from '../support/platformBounds.js';
import type { RemoteRegion } from '../support/remoteRegion.js';

const msPerSecond = 1_000;
const model = 'daka510000';
const firstRevision = 10;
const lastRevision = 20;
const readersPerRegion = 2;
/** Time in which the entries have taken up who is registered, in milliseconds. */
const settleMs = 2_000;

interface FeedReviewWorld {
  region: RemoteRegion;
  written: { version: number; at: number }[];
  bytesBefore: number;
  mirror: StoreMirror;
  clock: VirtualClock;
  state: FleetState;
  store: StoreFeed;
  calledAt: number;
}

function createConfigurationChange(revision: number): StoredValue {
  return { key: 'op/config', value: `configuration of revision ${revision}`, revision };
}

When(
  /^the entries that read the store stop and a configuration with (\d+) more routes is written$/,
  { timeout: 20_000 },
  async function stopSources(this: FeedReviewWorld, routes: string) {
    const { entries, link } = this.region;
    await sleep(settleMs);
    const order = rendezvousOrder('store feed', entries, ({ settings }) => settings.instance);
    order.slice(0, readersPerRegion).forEach(({ abort }) => abort.abort());
    this.bytesBefore = link.transmittedBytes;
    const at = performance.now();
    this.written = [{ version: this.region.writeConfiguration(Number(routes)), at }];
  },
);

When(
  /^a configuration with (\d+) more routes is in force and all entries start anew$/,
  { timeout: 30_000 },
  async function startTogether(this: FeedReviewWorld, routes: string) {
    const { region } = this;
    const at = performance.now();
    const version = region.writeConfiguration(Number(routes));
    await region.waitForVersion(version, at, 10 * msPerSecond);
    await sleep(settleMs);
    this.bytesBefore = region.link.transmittedBytes;
    await region.restartEntries();
    this.written = [{ version, at: performance.now() }];
  },
);

Given(
  /^a mirror with the configuration of revision (\d+)$/,
  function mirror(this: FeedReviewWorld, revision: string) {
    this.mirror = new StoreMirror();
    this.mirror.applySnapshot(
      { values: [createConfigurationChange(Number(revision))], revision: Number(revision) },
      { changedAt: 0, unseenMs: 0 },
    );
  },
);

When('it gets a snapshot of revision 10', function regress(this: FeedReviewWorld) {
  const values = [createConfigurationChange(firstRevision)];
  this.mirror.applySnapshot({ values, revision: firstRevision }, { changedAt: 0, unseenMs: 0 });
});

Then(
  'a follower with the snapshot gets the change of revision 20 when the mirror does',
  function missed(this: FeedReviewWorld) {
    const { mirror } = this;
    const read = new Map<string, StoreChange>();
    const readAfter = (revision: number): number => {
      mirror
        .readAfter({ revision }, 0, 0)!
        .changes.forEach((change) => read.set(change.key, change));
      return mirror.revision!;
    };
    const known = readAfter(0);
    const changes = [createConfigurationChange(lastRevision)];
    mirror.applyChanges({ changes, revision: lastRevision }, { changedAt: 0, unseenMs: 0 });
    readAfter(known);
    assert.equal(read.get('op/config')?.revision, lastRevision);
  },
);

Given(
  /^a store whose watch takes (\d+) seconds to send a named version$/,
  function slowStore(this: FeedReviewWorld, seconds: string) {
    this.clock = new VirtualClock();
    const { clock } = this;
    this.store = {
      snapshot: () => Promise.resolve({ values: [], revision: firstRevision }),
      changes: async (_prefix, { revision: after }, waitMs, signal): Promise<StoreChanges> => {
        if (after >= lastRevision) {
          await clock.sleep(waitMs, signal);
          return { changes: [], revision: after };
        }
        this.calledAt = clock.now();
        await clock.sleep(Number(seconds) * msPerSecond, signal);
        const value = JSON.stringify({ Model: model, Version: 2 });
        const key = `op/version/${model}`;
        return { changes: [{ key, value, revision: lastRevision }], revision: lastRevision };
      },
    };
  },
);

Given(
  /^a store that responds within (\d+) ms and gets a version right after its first change$/,
  function pausing(this: FeedReviewWorld, ms: string) {
    this.clock = new VirtualClock();
    const { clock } = this;
    const value = JSON.stringify({ Model: model, Version: 2 });
    const changes = [
      { key: 'op/evacuate/a', value: '{}', revision: firstRevision + 1 },
      { key: `op/version/${model}`, value, revision: firstRevision + 2 },
    ];
    this.store = {
      snapshot: () => Promise.resolve({ values: [], revision: firstRevision }),
      changes: async (_prefix, { revision: after }, waitMs, signal): Promise<StoreChanges> => {
        const change = changes.find(({ revision }) => revision > after);
        await clock.sleep(change ? Number(ms) : waitMs, signal);
        if (!change) return { changes: [], revision: after };
        // The version is named as soon as the first change has been sent.
        if (change === changes[0]) this.calledAt = clock.now();
        return { changes: [change], revision: change.revision };
      },
    };
  },
);

When('an entry watches it', async function watchSlowly(this: FeedReviewWorld) {
  const { clock } = this;
  const ignore = (): void => undefined;
  const log = { debug: ignore, info: ignore, warn: ignore, error: ignore };
  const metrics = new HistogramMetrics();
  this.state = new FleetState(metrics, log, ignore);
  const proofClock = new SleepAwareClock(clock);
  const watcher = new FleetWatcher(
    new DatedStore(this.store, proofClock, platformBounds),
    storeCodec,
    this.state,
    { confirm: ignore },
    proofClock,
    clock,
    metrics,
    log,
    platformBounds,
  );
  const abort = new AbortController();
  void watcher.run(abort.signal);
  await clock.runUntil(10 * msPerSecond);
  abort.abort();
});

Then(
  'the version counts as named no later than 1 second after the call began',
  function namedAt(this: FeedReviewWorld) {
    const at = this.state.namedVersions(model)?.namedAt(2);
    assert.ok(at !== undefined, 'the version is unknown');
    const lateMs = at - this.calledAt;
    assert.ok(lateMs <= msPerSecond, `named ${lateMs} ms after the call began`);
  },
);

Then('the version counts as named no later than it was', function inPause(this: FeedReviewWorld) {
  const at = this.state.namedVersions(model)?.namedAt(2);
  assert.ok(at !== undefined, 'the version is unknown');
  assert.ok(at <= this.calledAt, `named ${at - this.calledAt} ms too late`);
});
