import assert from 'node:assert/strict';
import { Then, When, World } from '@cucumber/cucumber';
import { SeededRandom } from '@laburnumstream/common';
import { NamedLimit, NotifierSelection, countSenders } from '@laburnumstream/decisions';
import fc from 'fast-check';
import type { CrashFleet } from '../support/crashFleet.js';
import { CauseKind, CrashTraffic } from '../support/crashTraffic.js';
import { troubles } from '../support/fleetTroubles.js';

interface LimitWorld extends World {
  crashFleet: CrashFleet;
  traffic: CrashTraffic;
  limit: number;
  /** Monotonic times from when to when the limit is named, in milliseconds. */
  namedFrom: number;
  namedUntil: number;
}

const limited = [0, 1];
const requestsPerSecond = 40;
const calmMs = 1_000;
const msPerSecond = 1_000;
/** Time after the first response with a limit from which the bound holds, in milliseconds. */
const graceMs = 3_000;
const windowMs = 4_000;
const windowFactor = 1.5;
const windowSlack = 5;
const countedMs = 3_000;

function getArrivals({ crashFleet }: LimitWorld, index: number, from: number, until = Infinity) {
  const times = crashFleet.arrivalTimes.get(index) ?? [];
  return times.filter((at) => at >= from && at < until);
}

/** Maximum number of ascending times in one window. */
function maxInWindow(times: readonly number[]): number {
  return Math.max(
    0,
    ...times.map((from) => times.filter((at) => at >= from && at < from + windowMs).length),
  );
}

When(
  /^2 endpoints name a limit of ([\d.]+) requests a second for (\d+) seconds, and (.+)$/,
  { timeout: 60_000 },
  async function name(this: LimitWorld, limit: string, seconds: string, trouble: string) {
    const { crashFleet } = this;
    this.limit = Number(limit);
    this.traffic = new CrashTraffic(crashFleet, CauseKind.part, requestsPerSecond);
    await this.traffic.run(calmMs);
    this.namedFrom = performance.now();
    crashFleet.setLimit(limited, this.limit);
    const ending = troubles[trouble]!(crashFleet);
    await Promise.all([this.traffic.run(Number(seconds) * msPerSecond), ending]);
    this.namedUntil = performance.now();
    await this.traffic.finish();
  },
);

When('they no longer name it', { timeout: 30_000 }, async function end(this: LimitWorld) {
  this.crashFleet.setLimit(limited, undefined);
});

Then(
  'in any 4 seconds from the third on they get at most one and a half times that and 5 requests each',
  function bounded(this: LimitWorld) {
    const most = windowFactor * this.limit * (windowMs / msPerSecond) + windowSlack;
    limited.forEach((index) => {
      const arrivals = getArrivals(this, index, this.namedFrom + graceMs, this.namedUntil);
      const found = maxInWindow(arrivals);
      this.log(`${found} in 4 s, ${most.toFixed(1)} allowed`);
      assert.ok(found <= most, `${found} requests in 4 s, ${most.toFixed(1)} allowed`);
    });
  },
);

Then('they get at least a quarter of what they named', function served(this: LimitWorld) {
  limited.forEach((index) => {
    const seconds = (this.namedUntil - this.namedFrom - graceMs) / msPerSecond;
    const found = getArrivals(this, index, this.namedFrom + graceMs, this.namedUntil).length;
    const least = Math.floor((this.limit * seconds) / 4);
    this.log(`${found} in ${seconds.toFixed(0)} s, at least ${least}`);
    assert.ok(found >= least, `${found} requests in ${seconds.toFixed(0)} s, at least ${least}`);
  });
});

Then('they get at most what they named and 5 requests in all', function most(this: LimitWorld) {
  limited.forEach((index) => {
    const seconds = (this.namedUntil - this.namedFrom - graceMs) / msPerSecond;
    const found = getArrivals(this, index, this.namedFrom + graceMs, this.namedUntil).length;
    const bound = this.limit * seconds + windowSlack;
    assert.ok(found <= bound, `${found} requests in ${seconds.toFixed(0)} s, at most ${bound}`);
  });
});

Then(
  /^they get at least half of what the others get, (\d+) seconds later$/,
  { timeout: 60_000 },
  async function again(this: LimitWorld, seconds: string) {
    await this.traffic.run(Number(seconds) * msPerSecond);
    const from = performance.now();
    await this.traffic.run(countedMs);
    await this.traffic.finish();
    const counts = this.crashFleet.endpointIndices.map(
      (index) => getArrivals(this, index, from).length,
    );
    const others = counts.filter((_, index) => !limited.includes(index));
    const mean = others.reduce((sum, count) => sum + count, 0) / others.length;
    this.log(counts.join());
    limited.forEach((index) => assert.ok(counts[index]! >= mean / 2, counts.join()));
  },
);

Then('all callers were served', function all(this: LimitWorld) {
  assert.equal(this.traffic.servedShare(0, Infinity), 1);
});

const propertySeed = 31;
const historyMs = 120_000;
const stepMs = 20;

/** Times at which entries that are always pressed send to an endpoint that has named a limit to all. */
function simulateSends(entries: number, perSecond: number, seed: number): number[] {
  const random = new SeededRandom(seed);
  const names = Array.from({ length: entries }, (_, index) => `front-${index}`);
  const limits = names.map((name) => {
    const selection = new NotifierSelection(name);
    selection.setEntries(names);
    const limit = new NamedLimit(random.next() * 60_000);
    limit.recordSend(-random.next() * 200);
    limit.update(perSecond, 0);
    return { limit, isSender: selection.isSelected('e1', countSenders(perSecond)) };
  });
  const sends: number[] = [];
  for (let now = 0; now < historyMs; now += stepMs) {
    limits.forEach(({ limit, isSender }) => {
      const isFree = limit.perSecond(now) === undefined || isSender;
      if (!isFree || !limit.allows(entries, now)) return;
      limit.recordSend(now);
      // The endpoint names its limit again, and entries tell each other.
      limits.forEach((other) => other.limit.update(perSecond, now));
      sends.push(now);
    });
  }
  return sends;
}

Then(
  /^in (\d+) histories entries that are always pressed send at most what an endpoint named$/,
  { timeout: 60_000 },
  (numRuns: string) => {
    const limits = fc.double({ min: 0.1, max: 20, noNaN: true });
    const property = fc.property(fc.integer({ min: 1, max: 80 }), limits, fc.nat(), (...values) => {
      const [entries, perSecond] = values;
      const found = maxInWindow(simulateSends(...values));
      const most = windowFactor * perSecond * (windowMs / msPerSecond) + windowSlack;
      assert.ok(found <= most, `${entries} entries: ${found} in 4 s, ${most.toFixed(1)} allowed`);
    });
    fc.assert(property, { seed: propertySeed, numRuns: Number(numRuns) });
  },
);
