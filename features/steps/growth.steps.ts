import assert from 'node:assert/strict';
import { Then, When } from '@cucumber/cucumber';
import fc from 'fast-check';
import { freePorts } from '@laburnumstream/bench';
import { SeededRandom, SleepAwareClock, Unavailable } from '@laburnumstream/common';
import type { StoreFeed } from '@laburnumstream/common';
import {
  ConfigurationFreshness,
  EndpointLoad,
  PeerLoads,
  bestPlacement,
} from '@laburnumstream/decisions';
import { DispatchQueue, FleetWatcher, FleetState } from '@laburnumstream/forwarding';
import type {
  EndpointSource,
  EndpointHandle,
  FleetCodec,
  PlacementRequest,
} from '@laburnumstream/forwarding';
import { FleetDatagrams } from '@laburnumstream/links';
import { SystemClock } from '@laburnumstream/runtime';
import { VirtualClock } from '@laburnumstream/standins';
import { eventually } from '../support/assertions.js';
import {
  GrownFleet,
  anywhere,
  grownEndpoint,
  grownService,
  noMetrics,
  quietLog,
} from '../support/grownFleet.js';
import { countVisits } from '../support/visits.js';

interface GrowthWorld {
  /** Work of one choice, by the number of entries. */
  work: Map<number, number>;
  /** Endpoints that were asked for room, in each look. */
  asked: number[];
  placed: string[];
  builds: number;
  /** Times that the content of a datagram was read, by the number of receivers. */
  reads: Map<number, number>;
  received: Map<number, number>;
  /** Calls of one entry's feed, by the number of entries. */
  calls: Map<number, number>;
}

const sizes = [10, 100, 700] as const;
const many = 700;
const demand = { promptTokens: 0, answerTokens: 0 };
const idle = { running: 0, waiting: 0, slowdown: 1 };

function workOf(measure: (entries: number) => number): Map<number, number> {
  return new Map(sizes.map((entries) => [entries, measure(entries)]));
}

function isFlat(work: ReadonlyMap<number, number>): void {
  assert.equal(work.get(many), work.get(sizes[0]), JSON.stringify([...work]));
}

When(
  '40 endpoints are asked for room with 10, 100 and 700 entries',
  function ask(this: GrowthWorld) {
    this.work = workOf((entries) => {
      const { directory, regions } = new GrownFleet(entries, 40);
      const random = new SeededRandom(2);
      [...directory.all].forEach((handle) =>
        handle.applyLoadReport(idle, directory.getCapacitySharers(handle.region), random, 0),
      );
      regions.lookups = 0;
      bestPlacement(directory.available(grownService, anywhere), demand, 0, random);
      return regions.lookups;
    });
  },
);

Then(
  'the regions looked up are as many with 700 entries as with 10',
  function flat(this: GrowthWorld) {
    isFlat(this.work);
  },
);

When(
  'an endpoint with 10, 100 and 700 entries that told their loads is asked for room',
  function ask(this: GrowthWorld) {
    this.work = workOf((entries) => {
      const load = new EndpointLoad(() => entries, true);
      load.applyReport(idle, 0, 3, 0);
      for (let entry = 0; entry < entries; entry += 1) {
        load.updatePeer(`front-${entry}`, { requests: 1, unreadMs: 2 }, 1);
      }
      return countVisits(() => load.hasCapacity({ slots: many * 2, spare: 1, unreadMs: 1e6 }, 2));
    });
  },
);

Then('the loads read are as many with 700 entries as with 10', function flat(this: GrowthWorld) {
  isFlat(this.work);
});

const telling = fc.record({
  entry: fc.integer({ min: 0, max: 6 }),
  requests: fc.integer({ min: 0, max: 9 }),
  unreadMs: fc.integer({ min: 0, max: 300 }),
  afterMs: fc.integer({ min: 0, max: 1_500 }),
});
const staleMs = 2_500;

Then('sums of loads told equal those of the loads that are fresh, for any history', () => {
  fc.assert(
    fc.property(fc.array(telling, { maxLength: 40 }), (tellings) => {
      const loads = new PeerLoads();
      const last = new Map<number, { requests: number; unreadMs: number; at: number }>();
      let now = 0;
      tellings.forEach(({ entry, requests, unreadMs, afterMs }) => {
        now += afterMs;
        loads.update(`front-${entry}`, { requests, unreadMs }, now);
        last.set(entry, { requests, unreadMs, at: now });
        const fresh = [...last.values()].filter(({ at }) => now - at < staleMs);
        const sum = (valueOf: (load: (typeof fresh)[number]) => number): number =>
          fresh.reduce((total, load) => total + valueOf(load), 0);
        assert.equal(loads.count(now), fresh.length);
        assert.equal(
          loads.requests(now),
          sum((load) => load.requests),
        );
        assert.equal(
          loads.unreadMs(now),
          sum((load) => load.unreadMs),
        );
      });
      assert.equal(loads.requests(now + staleMs), 0);
    }),
    { seed: 11 },
  );
});

function requestOf(id: string): PlacementRequest {
  return {
    id,
    service: grownService,
    workspace: 'w',
    priority: 1,
    isCallerRetry: false,
    isRetryable: true,
    arrivedAt: 0,
    startBy: 5_000,
    demand,
    fairnessGroups: ['r'],
    eligibility: anywhere,
    goalAt: 6_000,
    deadlineAt: 7_000,
  };
}

/** A choice of endpoints that notes how many are asked for room. */
function notingChoice(
  handles: readonly EndpointHandle[],
  hasRoom: (handle: EndpointHandle) => boolean,
  asked: number[],
): EndpointSource {
  return {
    forService: () => handles,
    available: (_service, _eligibility, among = handles) => {
      asked.push(among.length);
      return among.filter(hasRoom);
    },
    canServe: () => true,
  };
}

When('a request is refused by a line with 700 endpoints', async function refuse(this: GrowthWorld) {
  this.asked = [];
  const { directory, clock } = new GrownFleet(7, many);
  const choice = notingChoice([...directory.all], () => false, this.asked);
  const line = new DispatchQueue(choice, clock, new SeededRandom(3), noMetrics, quietLog);
  const late = { ...requestOf('late'), startBy: -1 };
  await assert.rejects(line.place(late, new AbortController().signal), Unavailable);
});

Then('each endpoint was asked for room once', function once(this: GrowthWorld) {
  assert.deepEqual(this.asked, [many]);
});

When(
  '20 requests wait for 700 endpoints and one of them gets room',
  async function wait(this: GrowthWorld) {
    Object.assign(this, { asked: [], placed: [] });
    const { directory, clock } = new GrownFleet(7, many);
    const open = new Set<EndpointHandle>();
    const handles = [...directory.all];
    const choice = notingChoice(handles, (handle) => open.has(handle), this.asked);
    const line = new DispatchQueue(choice, clock, new SeededRandom(3), noMetrics, quietLog);
    for (let index = 0; index < 20; index += 1) {
      void line.place(requestOf(`r${index}`), new AbortController().signal).then(({ target }) => {
        this.placed.push(target.id);
        open.delete(target);
      });
    }
    const free = handles[500]!;
    open.add(free);
    this.asked.length = 0;
    line.dispatch(grownService, free);
    await Promise.resolve();
  },
);

Then(
  'each request was compared with that endpoint only, and one was placed',
  function compared(this: GrowthWorld) {
    assert.ok(
      this.asked.every((count) => count === 1),
      `${Math.max(...this.asked)} at once`,
    );
    assert.ok(this.asked.length <= 20, `${this.asked.length} looks`);
    assert.ok(this.placed.length > 0 && this.placed.every((id) => id === 'e500'));
  },
);

When(
  'one of 40 endpoints leaves while it runs a request, and the request ends',
  function leave(this: GrowthWorld) {
    const { directory, state } = new GrownFleet(7, 40);
    const left = [...directory.all][5]!;
    state.removeEndpoint(left.id);
    directory.refresh();
    this.placed = directory.available(grownService, anywhere, [left]).map(({ id }) => id);
  },
);

Then('no waiting request is placed there', function none(this: GrowthWorld) {
  assert.deepEqual(this.placed, []);
});

/** A store with a list that does not change, and the codec of its values. */
function listOf(count: number): { store: StoreFeed; codec: FleetCodec } {
  const values = Array.from({ length: count }, (_, index) => ({
    key: `${index}`,
    value: '',
    revision: 1,
  }));
  const store: StoreFeed = {
    snapshot: () => Promise.resolve({ values, revision: 1 }),
    changes: (_prefix, _after, _waitMs, signal) =>
      new Promise((_resolve, reject) => {
        signal?.addEventListener('abort', () => reject(new Unavailable('The test is over.', 0)));
      }),
  };
  const codec: FleetCodec = {
    prefix: '',
    entryKey: (name) => name,
    encodeEntry: () => '',
    decode: ({ key }) => ({ kind: 'endpoint', id: `e${key}`, endpoint: grownEndpoint(+key) }),
  };
  return { store, codec };
}

/** A feed of a state from a store. */
function feedOf(
  { store, codec }: { store: StoreFeed; codec: FleetCodec },
  state: FleetState,
  clock: VirtualClock,
): FleetWatcher {
  const proof = new ConfigurationFreshness(4_600, 2_500);
  const proofClock = new SleepAwareClock(clock);
  return new FleetWatcher(
    store,
    codec,
    state,
    proof,
    proofClock,
    clock,
    noMetrics,
    quietLog,
    8_000,
  );
}

When('an entry reads a list with 700 endpoints', async function read(this: GrowthWorld) {
  this.builds = 0;
  const abort = new AbortController();
  const state = new FleetState(noMetrics, quietLog, () => {
    this.builds += 1;
  });
  void feedOf(listOf(many), state, new VirtualClock()).run(abort.signal);
  await new Promise((resolve) => {
    setImmediate(resolve);
  });
  abort.abort();
  assert.equal(state.endpoints.size, many);
});

Then('its routing tables are built once', function once(this: GrowthWorld) {
  assert.equal(this.builds, 1);
});

/** Sends one datagram to some receivers on one port; returns how often its content was read. */
async function readsOf(receivers: number, received: Map<number, number>): Promise<number> {
  const abort = new AbortController();
  const clock = new SystemClock();
  const [port] = await freePorts(1);
  const hosts = Array.from({ length: receivers }, (_, index) => `127.0.0.${index + 2}`);
  const load = (): void => {
    received.set(receivers, (received.get(receivers) ?? 0) + 1);
  };
  const binds = hosts.map((host) =>
    new FleetDatagrams(host, { load }, clock, noMetrics, quietLog).bind(host, port!, abort.signal),
  );
  const sender = new FleetDatagrams('front-0', {}, clock, noMetrics, quietLog);
  await Promise.all([...binds, sender.bind('127.0.0.1', port!, abort.signal)]);
  let reads = 0;
  const value = {
    get shares() {
      reads += 1;
      return [];
    },
  };
  sender.sendAll({ case: 'load', value }, hosts);
  await eventually(() => received.get(receivers) === receivers, 'all have received it');
  abort.abort();
  return reads;
}

When('the same is sent to 1 and to 11 other processes', async function send(this: GrowthWorld) {
  this.received = new Map();
  this.reads = new Map([
    [1, await readsOf(1, this.received)],
    [11, await readsOf(11, this.received)],
  ]);
});

Then('each receives it and it was encoded once for all', function once(this: GrowthWorld) {
  assert.deepEqual([...this.received.values()], [1, 11]);
  assert.ok(this.reads.get(1)! > 0);
  assert.equal(this.reads.get(11), this.reads.get(1));
});

/** Calls in 10 s of one of some entries to a store that answers each watch with a change. */
async function callsOf(entries: number): Promise<number> {
  const abort = new AbortController();
  const { clock, state } = new GrownFleet(entries, 1);
  const { store, codec } = listOf(entries);
  let calls = 0;
  const changing: StoreFeed = {
    snapshot: (prefix, signal) => store.snapshot(prefix, signal),
    async changes(_prefix, after) {
      calls += 1;
      await clock.sleep(20);
      return { changes: [{ key: '0', value: '', revision: after + 1 }], revision: after + 1 };
    },
  };
  const place = { host: '10.0.0.0', dataCentre: 'a' };
  const registering: FleetCodec = {
    ...codec,
    decode: ({ key }) => ({ kind: 'entry', name: `front-${key}`, location: place }),
  };
  void feedOf({ store: changing, codec: registering }, state, clock).run(abort.signal);
  await clock.runUntil(10_000);
  abort.abort();
  return calls;
}

When(
  '7 and 38 entries follow a store with a change each 20 ms for 10 seconds',
  async function follow(this: GrowthWorld) {
    this.calls = new Map([
      [7, await callsOf(7)],
      [38, await callsOf(38)],
    ]);
  },
);

Then(
  'each of the 7 calls it at most 45 times and each of the 38 at most 25 times',
  function few(this: GrowthWorld) {
    const [small = 0, grown = 0] = [...this.calls.values()];
    assert.ok(small > 30 && small <= 45, `${small} calls of 7 entries`);
    assert.ok(grown > 15 && grown <= 25, `${grown} calls of 38 entries`);
  },
);
