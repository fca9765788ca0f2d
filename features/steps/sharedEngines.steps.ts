import assert from 'node:assert/strict';
import { setImmediate as nextImmediate } from 'node:timers/promises';
import { Given, Then, When } from '@cucumber/cucumber';
import { SeededRandom } from '@laburnumstream/common';
import { AttemptOutcome, EndpointLoad, capacityShare } from '@laburnumstream/decisions';
import { DispatchQueue } from '@laburnumstream/forwarding';
import type { EndpointHandle } from '@laburnumstream/forwarding';
import { LargeFleet, noopLog, noopMetrics, testService } from '../support/largeFleet.js';
import { createPlacementRequest } from '../support/placementRequest.js';

interface SharedEnginesWorld {
  largeFleet: LargeFleet;
  queue: DispatchQueue;
  load: EndpointLoad;
  handle: EndpointHandle;
  isLocal: boolean;
  /** Number of requests that were placed. */
  placed: number;
  loads: readonly EndpointLoad[];
}

const limits = { slots: 16, spare: 1, unreadMs: 200 };
const localEntries = 2;
const remoteEntries = 5;
const reportedAt = 1_000;
const shares = 400;
/** Time by which a request is placed at an ejected endpoint, and time between checks of the queue, in milliseconds. */
const placedByMs = 2_000;
const recheckMs = 20;

/** Places requests that wait, and counts those that are placed. */
function placeAll(world: SharedEnginesWorld, count: number): void {
  Object.assign(world, { placed: 0 });
  for (let index = 0; index < count; index += 1) {
    const place = world.queue.place(
      createPlacementRequest(`r${index}`),
      new AbortController().signal,
    );
    void place.then(() => {
      Object.assign(world, { placed: world.placed + 1 });
    });
  }
}

/** Lets the queue be checked until a request is placed. */
async function waitForPlacement(world: SharedEnginesWorld): Promise<void> {
  const { clock } = world.largeFleet;
  while (world.placed === 0 && clock.now() < placedByMs)
    await clock.runUntil(clock.now() + recheckMs);
}

/** Load that a report gives for 10 of 16 slots, with the entry's share of the rest. */
function applyReport(load: EndpointLoad, running: number, allowance: number, now: number): void {
  load.applyReport({ running, waiting: 0, slowdown: 1 }, load.ownRequests, allowance, now);
}

Given(
  /^(\d+) requests wait at an entry of (its|another) region$/,
  function wait(this: SharedEnginesWorld, count: string, region: string) {
    const { directory, clock } = new LargeFleet(1, 1);
    const [handle] = directory.all;
    const isLocal = region === 'its';
    const load = new EndpointLoad(() => (isLocal ? 0 : localEntries), isLocal);
    Object.assign(handle!, { load });
    applyReport(load, limits.slots + limits.spare, 0, clock.now());
    const source = {
      forService: () => [handle!],
      available: () => (load.hasCapacity(limits, clock.now()) ? [handle!] : []),
      countLimited: () => 0,
      recordPlacement: () => undefined,
      canServe: () => true,
      summarizeStatements: () => ({ leaving: 0, paused: 0, pauseLeftMs: 0 }),
    };
    const queue = new DispatchQueue(source, clock, new SeededRandom(3), noopMetrics, noopLog);
    Object.assign(this, { queue, load, handle, isLocal });
    placeAll(this, Number(count));
  },
);

Given(
  /^(\d+) requests wait for an endpoint that was ejected and may have one connection$/,
  function ejected(this: SharedEnginesWorld, count: string) {
    const fleet = new LargeFleet(1, 1);
    const { directory, clock } = fleet;
    const [handle] = directory.all;
    // Two failures in a row eject it.
    handle!.health.recordAttempt(AttemptOutcome.failed, clock.now());
    handle!.health.recordAttempt(AttemptOutcome.failed, clock.now());
    const queue = new DispatchQueue(directory, clock, new SeededRandom(3), noopMetrics, noopLog);
    Object.assign(this, { largeFleet: fleet, queue, handle });
    placeAll(this, Number(count));
  },
);

When('it may be probed', async function probe(this: SharedEnginesWorld) {
  await waitForPlacement(this);
});

When('it has responded', async function responds(this: SharedEnginesWorld) {
  this.handle.health.recordAttempt(AttemptOutcome.responded, this.largeFleet.clock.now());
  await waitForPlacement(this);
});

When(
  /^an engine with 16 slots reports that (\d+) are taken$/,
  async function report(this: SharedEnginesWorld, taken: string) {
    const { load, handle, queue, isLocal } = this;
    const random = new SeededRandom(3);
    const free = limits.slots + limits.spare - Number(taken);
    const sharers = { local: isLocal ? 1 : localEntries, remote: isLocal ? 0 : 1, isLocal };
    applyReport(load, Number(taken), capacityShare(free, sharers, random), 0);
    queue.dispatch(testService, handle);
    await Promise.resolve();
  },
);

Then(
  /^at most (\d+) of them are sent to it, and at least 1$/,
  function few(this: SharedEnginesWorld, most: string) {
    const { placed } = this;
    assert.ok(placed >= 1 && placed <= Number(most), `${placed} sent`);
  },
);

Then(
  'no request counts at the engine when none was sent',
  async function unused(this: SharedEnginesWorld) {
    assert.ok(this.placed > 0);
    await nextImmediate();
    assert.equal(this.load.ownRequests, 0);
    assert.equal(this.load.unreadMs(0), 0);
    assert.ok(this.load.hasCapacity(limits, 0));
  },
);

Then(
  /^(\d+) entr(?:y|ies) of other regions send an engine with 7 free places 4 to 10 requests, on average 7$/,
  (count: string) => {
    const random = new SeededRandom(3);
    const sharers = { local: 0, remote: Number(count), isLocal: false };
    const sums = Array.from({ length: shares }, () =>
      Array.from({ length: Number(count) }, () => capacityShare(7, sharers, random)).reduce(
        (sum, share) => sum + share,
        0,
      ),
    );
    const mean = sums.reduce((sum, each) => sum + each, 0) / shares;
    assert.ok(Math.abs(mean - 7) < 0.3, `${mean} on average`);
    assert.ok(sums.every((sum) => sum >= 4 && sum <= 10));
  },
);

/** Lets each entry send until it has no capacity; returns the number of requests. */
function sendAll(loads: readonly EndpointLoad[], now: number): number {
  let sent = 0;
  loads.forEach((load) => {
    while (load.hasCapacity(limits, now)) {
      load.recordStart(0);
      sent += 1;
    }
  });
  return sent;
}

Given(
  /^an agent has reported that all slots of its engine are taken, to (\d+) entries of other regions$/,
  function full(this: SharedEnginesWorld, count: string) {
    assert.equal(Number(count), remoteEntries);
    const random = new SeededRandom(3);
    const sharers = { local: localEntries, remote: remoteEntries, isLocal: false };
    this.loads = Array.from({ length: remoteEntries }, () => {
      const load = new EndpointLoad(() => localEntries, false);
      load.recordStart(0);
      applyReport(load, limits.slots, capacityShare(1, sharers, random), reportedAt);
      return load;
    });
  },
);

Then(
  /^they send the engine at most (\d+) requests in the next ([\d.]+) seconds$/,
  function none(this: SharedEnginesWorld, most: string, seconds: string) {
    const until = reportedAt + Number(seconds) * 1_000;
    let sent = 0;
    for (let now = reportedAt; now <= until; now += 100) sent += sendAll(this.loads, now);
    assert.ok(sent <= Number(most), `${sent} sent`);
  },
);

Then(
  'each sends it one request for each of its requests that end meanwhile',
  function replace(this: SharedEnginesWorld) {
    this.loads.forEach((load) => load.recordEnd());
    assert.equal(sendAll(this.loads, reportedAt + 3_500), remoteEntries);
  },
);

Then(
  /^they use it without a report after (\d+) seconds$/,
  function later(this: SharedEnginesWorld, seconds: string) {
    const now = reportedAt + Number(seconds) * 1_000;
    assert.ok(this.loads.every((load) => load.hasCapacity(limits, now)));
  },
);
