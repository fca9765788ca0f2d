import assert from 'node:assert/strict';
import { After, Given, Then, When, World } from '@cucumber/cucumber';
import { CrashFleet, EntryPaths } from '../support/crashFleet.js';
import { CauseKind, CrashTraffic } from '../support/crashTraffic.js';
import { troubles } from '../support/fleetTroubles.js';

interface CrashWorld extends World {
  crashFleet: CrashFleet;
  traffic: CrashTraffic;
  /** Monotonic time at which requests that crash endpoints began, in milliseconds. */
  beganAt: number;
}

const msPerSecond = 1_000;
const calmMs = 2_000;
/** Time for which a machine must have been without trouble for the rule to hold for it, in milliseconds. */
const contactMs = 3_000;
const crashesBeforeBound = 5;
/** Time for endpoints to come back and for entries to use them again, in milliseconds. */
const recoveryMs = 6_000;
/** Time in which entries that were killed must be ready again, in milliseconds. */
const restartBoundMs = 20_000;

/** Starts traffic without requests that crash endpoints. */
async function startCalmly(world: CrashWorld, kind: CauseKind = CauseKind.part): Promise<void> {
  const traffic = new CrashTraffic(world.crashFleet, kind);
  Object.assign(world, { traffic });
  await traffic.run(calmMs);
  Object.assign(world, { beganAt: performance.now() });
}

/**
 * Goes on with the traffic until all entries have been ready again for as long as traffic was calm at the
 * start: how long processes take to start depends on the machine.
 */
async function runUntilReady({ crashFleet, traffic }: CrashWorld): Promise<void> {
  const from = performance.now();
  const isCalm = (): boolean =>
    crashFleet.areEntriesReady && performance.now() - crashFleet.lastReadyAt >= calmMs;
  while (!isCalm()) {
    assert.ok(performance.now() - from < restartBoundMs, 'all entries are ready');
    await traffic.run(msPerSecond);
  }
}

/** How endpoints end that no request crashes; called every second. */
const ends: Readonly<Record<string, (fleet: CrashFleet, second: number) => void>> = {
  'all at once': (fleet, second) => {
    if (second % 3 === 0) fleet.crashEndpoints(fleet.endpointIndices);
  },
  'one after the other': (fleet, second) => fleet.crashEndpoints([second % fleet.endpointCount]),
  'several every second': (fleet, second) => {
    const isFirstHalf = second % 2 === 0;
    const half = fleet.endpointCount / 2;
    fleet.crashEndpoints(fleet.endpointIndices.filter((index) => index < half === isFirstHalf));
  },
};

Given(
  /^(\d+) entry programs( that are cut from each other)? and (\d+) endpoints that crash on content$/,
  { timeout: 40_000 },
  async function start(this: CrashWorld, entries: string, isCut: string | null, endpoints: string) {
    const paths = isCut ? EntryPaths.cut : EntryPaths.open;
    this.crashFleet = await CrashFleet.start(Number(entries), Number(endpoints), paths);
  },
);

After(async function close(this: Partial<CrashWorld>) {
  await this.crashFleet?.close();
});

When(
  /^requests with a part that crashes endpoints come for (\d+) seconds, and (.+)$/,
  { timeout: 60_000 },
  async function come(this: CrashWorld, seconds: string, trouble: string) {
    await startCalmly(this);
    this.traffic.setCause('bad1');
    const ending = troubles[trouble]!(this.crashFleet);
    await Promise.all([this.traffic.run(Number(seconds) * msPerSecond), ending]);
    await runUntilReady(this);
    await this.traffic.finish();
  },
);

When(
  /^requests with one and then another part that crashes endpoints come for (\d+) seconds each$/,
  { timeout: 60_000 },
  async function two(this: CrashWorld, seconds: string) {
    await startCalmly(this);
    for (const cause of ['bad1', 'bad2']) {
      this.traffic.setCause(cause);
      await this.traffic.run(Number(seconds) * msPerSecond);
    }
    await this.traffic.finish();
  },
);

When(
  /^one request that crashes endpoints comes again for (\d+) seconds$/,
  { timeout: 60_000 },
  async function again(this: CrashWorld, seconds: string) {
    await startCalmly(this, CauseKind.body);
    this.traffic.setCause('bad body');
    await this.traffic.run(Number(seconds) * msPerSecond);
    await this.traffic.finish();
  },
);

When(
  /^endpoints end (.+) for (\d+) seconds$/,
  { timeout: 60_000 },
  async function end(this: CrashWorld, how: string, seconds: string) {
    await startCalmly(this);
    for (let second = 0; second < Number(seconds); second += 1) {
      ends[how]!(this.crashFleet, second);
      await this.traffic.run(msPerSecond);
    }
    await this.traffic.run(recoveryMs);
  },
);

Then(
  /^sound requests are served again, ([\d.]+) of them$/,
  { timeout: 30_000 },
  async function served(this: CrashWorld, least: string) {
    const from = performance.now();
    await this.traffic.run(calmMs);
    await this.traffic.finish();
    const share = this.traffic.servedShare(from, Infinity);
    this.log(`${share.toFixed(2)} served`);
    assert.ok(share >= Number(least), `${share.toFixed(2)} served`);
  },
);

Then(
  /^at most (\d+) of them reach endpoints later than (\d+) seconds after the fifth crash$/,
  function bounded(this: CrashWorld, most: string, seconds: string) {
    const { crashes, arrivals, causes } = this.crashFleet;
    causes.forEach((cause) => {
      const ended = crashes.filter((crash) => crash.cause === cause);
      const fifth = ended[crashesBeforeBound - 1];
      if (!fifth) return;
      const from = fifth.at + Number(seconds) * msPerSecond;
      const late = arrivals.filter((arrival) => arrival.cause === cause && arrival.at > from);
      const seen = `${late.length} late of ${arrivals.length} with ${cause}, ${ended.length} crashes`;
      this.log(seen);
      assert.ok(late.length <= Number(most), seen);
    });
  },
);

Then('sound requests are served at least half as often as before', function go(this: CrashWorld) {
  const { traffic, beganAt, crashFleet } = this;
  const before = traffic.servedShare(0, beganAt);
  const last = crashFleet.crashes[Math.min(crashFleet.crashes.length, crashesBeforeBound) - 1];
  const from = (last?.at ?? beganAt) + 2 * contactMs;
  const after = traffic.servedShare(from, Infinity);
  const seen = `${after.toFixed(2)} served after, ${before.toFixed(2)} before`;
  this.log(seen);
  assert.ok(after >= before / 2, seen);
});
