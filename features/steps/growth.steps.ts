import assert from 'node:assert/strict';
import { Then, When } from '@cucumber/cucumber';
import fc from 'fast-check';
import { freePorts } from '@laburnumstream/bench';
import { SeededRandom, Unavailable } from '@laburnumstream/common';
import { EndpointLoad, PeerLoads, bestPlacement } from '@laburnumstream/decisions';
import { DispatchQueue, FleetState } from '@laburnumstream/forwarding';
import type { EndpointSource, EndpointHandle } from '@laburnumstream/forwarding';
import { FleetDatagrams } from '@laburnumstream/links';
import { SystemClock } from '@laburnumstream/runtime';
import { VirtualClock } from '@laburnumstream/standins';
import { eventually } from '../support/assertions.js';
import {
  LargeFleet,
  anyEndpoint,
  testService,
  noopMetrics,
  noopLog,
} from '../support/largeFleet.js';
import { countStoreCalls, createStaticStore, createWatcher } from '../support/changingStore.js';
import { createPlacementRequest } from '../support/placementRequest.js';
import { countVisits } from '../support/visits.js';

/**
 * These scenarios guard against work per request, per datagram and per change that grows with the
 * number of entries. They count operations instead of measuring time, so they don't depend on the
 * machine.
 */
interface GrowthWorld {
  /** Operations of one endpoint choice, by the number of entries. */
  workBySize: Map<number, number>;
  /** Number of endpoints checked for free capacity, for each check. */
  offeredCounts: number[];
  /** Ids of the endpoints that requests were dispatched to. */
  placedOn: string[];
  routingTableBuilds: number;
  /** Reads of a datagram's content while it is encoded, by the number of receivers. */
  contentReads: Map<number, number>;
  /** Delivered datagrams, by the number of receivers. */
  deliveries: Map<number, number>;
  /** Store calls of one entry's watch, by the number of entries. */
  storeCalls: Map<number, number>;
}

const entryCounts = [10, 100, 700] as const;
const largestSize = 700;
const demand = { promptTokens: 0, answerTokens: 0 };
const idleReport = { running: 0, waiting: 0, slowdown: 1 };

function measureBySize(measure: (entries: number) => number): Map<number, number> {
  return new Map(entryCounts.map((entries) => [entries, measure(entries)]));
}

function assertIndependentOfSize(work: ReadonlyMap<number, number>): void {
  assert.equal(work.get(largestSize), work.get(entryCounts[0]), JSON.stringify([...work]));
}

When(
  '40 endpoints are asked for room with 10, 100 and 700 entries',
  function ask(this: GrowthWorld) {
    this.workBySize = measureBySize((entries) => {
      const { directory, regions } = new LargeFleet(entries, 40);
      const random = new SeededRandom(2);
      [...directory.all].forEach((handle) =>
        handle.applyLoadReport(idleReport, directory.getCapacitySharers(handle.region), random, 0),
      );
      regions.lookups = 0;
      bestPlacement(directory.available(testService, anyEndpoint), demand, 0, random);
      return regions.lookups;
    });
  },
);

Then(
  'the regions looked up are as many with 700 entries as with 10',
  function flat(this: GrowthWorld) {
    assertIndependentOfSize(this.workBySize);
  },
);

When(
  'an endpoint with 10, 100 and 700 entries that told their loads is asked for room',
  function ask(this: GrowthWorld) {
    this.workBySize = measureBySize((entries) => {
      const load = new EndpointLoad(() => entries, true);
      load.applyReport(idleReport, 0, 3, 0);
      for (let entry = 0; entry < entries; entry += 1) {
        load.updatePeer(`front-${entry}`, { requests: 1, unreadMs: 2 }, 1);
      }
      return countVisits(() =>
        load.hasCapacity({ slots: largestSize * 2, spare: 1, unreadMs: 1e6 }, 2),
      );
    });
  },
);

Then('the loads read are as many with 700 entries as with 10', function flat(this: GrowthWorld) {
  assertIndependentOfSize(this.workBySize);
});

const loadUpdate = fc.record({
  entry: fc.integer({ min: 0, max: 6 }),
  requests: fc.integer({ min: 0, max: 9 }),
  unreadMs: fc.integer({ min: 0, max: 300 }),
  afterMs: fc.integer({ min: 0, max: 1_500 }),
});
const staleMs = 2_500;

Then('sums of loads told equal those of the loads that are fresh, for any history', () => {
  fc.assert(
    fc.property(fc.array(loadUpdate, { maxLength: 40 }), (updates) => {
      const loads = new PeerLoads();
      const last = new Map<number, { requests: number; unreadMs: number; at: number }>();
      let now = 0;
      updates.forEach(({ entry, requests, unreadMs, afterMs }) => {
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

/** Creates an endpoint source that records how many endpoints each check considers. */
function createCountingSource(
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
    countLimited: () => 0,
    recordPlacement: () => undefined,
    canServe: () => true,
    summarizeStatements: () => ({ leaving: 0, paused: 0, pauseLeftMs: 0 }),
  };
}

When('a request is refused by a line with 700 endpoints', async function refuse(this: GrowthWorld) {
  this.offeredCounts = [];
  const { directory, clock } = new LargeFleet(7, largestSize);
  const source = createCountingSource([...directory.all], () => false, this.offeredCounts);
  const queue = new DispatchQueue(source, clock, new SeededRandom(3), noopMetrics, noopLog);
  const late = createPlacementRequest('late', { demand, startBy: -1 });
  await assert.rejects(queue.place(late, new AbortController().signal), Unavailable);
});

Then('each endpoint was asked for room once', function once(this: GrowthWorld) {
  assert.deepEqual(this.offeredCounts, [largestSize]);
});

When(
  '20 requests wait for 700 endpoints and one of them gets room',
  async function wait(this: GrowthWorld) {
    Object.assign(this, { offeredCounts: [], placedOn: [] });
    const { directory, clock } = new LargeFleet(7, largestSize);
    const open = new Set<EndpointHandle>();
    const handles = [...directory.all];
    const source = createCountingSource(handles, (handle) => open.has(handle), this.offeredCounts);
    const queue = new DispatchQueue(source, clock, new SeededRandom(3), noopMetrics, noopLog);
    for (let index = 0; index < 20; index += 1) {
      void queue
        .place(createPlacementRequest(`r${index}`, { demand }), new AbortController().signal)
        .then(({ target }) => {
          this.placedOn.push(target.id);
          open.delete(target);
        });
    }
    const free = handles[500]!;
    open.add(free);
    this.offeredCounts.length = 0;
    queue.dispatch(testService, free);
    await Promise.resolve();
  },
);

Then(
  'each request was compared with that endpoint only, and one was placed',
  function compared(this: GrowthWorld) {
    assert.ok(
      this.offeredCounts.every((count) => count === 1),
      `${Math.max(...this.offeredCounts)} endpoints in one check`,
    );
    assert.ok(this.offeredCounts.length <= 20, `${this.offeredCounts.length} checks`);
    assert.ok(this.placedOn.length > 0 && this.placedOn.every((id) => id === 'e500'));
  },
);

When(
  'one of 40 endpoints leaves while it runs a request, and the request ends',
  function leave(this: GrowthWorld) {
    const { directory, state } = new LargeFleet(7, 40);
    const left = [...directory.all][5]!;
    state.removeEndpoint(left.id, 0);
    directory.refresh();
    this.placedOn = directory.available(testService, anyEndpoint, [left]).map(({ id }) => id);
  },
);

Then('no waiting request is placed there', function none(this: GrowthWorld) {
  assert.deepEqual(this.placedOn, []);
});

When('an entry reads a list with 700 endpoints', async function read(this: GrowthWorld) {
  this.routingTableBuilds = 0;
  const abort = new AbortController();
  const state = new FleetState(noopMetrics, noopLog, () => {
    this.routingTableBuilds += 1;
  });
  void createWatcher(createStaticStore(largestSize), state, new VirtualClock()).run(abort.signal);
  await new Promise((resolve) => {
    setImmediate(resolve);
  });
  abort.abort();
  assert.equal(state.endpoints.size, largestSize);
});

Then('its routing tables are built once', function once(this: GrowthWorld) {
  assert.equal(this.routingTableBuilds, 1);
});

/** Sends one datagram to several receivers; returns how often its content was read for encoding. */
async function countContentReads(
  receivers: number,
  received: Map<number, number>,
): Promise<number> {
  const abort = new AbortController();
  const clock = new SystemClock();
  const [port] = await freePorts(1);
  const hosts = Array.from({ length: receivers }, (_, index) => `127.0.0.${index + 2}`);
  const load = (): void => {
    received.set(receivers, (received.get(receivers) ?? 0) + 1);
  };
  const binds = hosts.map((host) =>
    new FleetDatagrams(host, { load }, clock, noopMetrics, noopLog).bind(host, port!, abort.signal),
  );
  const sender = new FleetDatagrams('front-0', {}, clock, noopMetrics, noopLog);
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
  this.deliveries = new Map();
  this.contentReads = new Map([
    [1, await countContentReads(1, this.deliveries)],
    [11, await countContentReads(11, this.deliveries)],
  ]);
});

Then('each receives it and it was encoded once for all', function once(this: GrowthWorld) {
  assert.deepEqual([...this.deliveries.values()], [1, 11]);
  assert.ok(this.contentReads.get(1)! > 0);
  assert.equal(this.contentReads.get(11), this.contentReads.get(1));
});

When(
  '7 and 38 entries follow a store with a change each 20 ms for 10 seconds',
  async function follow(this: GrowthWorld) {
    this.storeCalls = new Map([
      [7, await countStoreCalls(7)],
      [38, await countStoreCalls(38)],
    ]);
  },
);

Then(
  'each of the 7 calls it at most 45 times and each of the 38 at most 25 times',
  function few(this: GrowthWorld) {
    const [small = 0, grown = 0] = [...this.storeCalls.values()];
    assert.ok(small > 30 && small <= 45, `${small} calls of 7 entries`);
    assert.ok(grown > 15 && grown <= 25, `${grown} calls of 38 entries`);
  },
);
