import assert from 'node:assert/strict';
import { setTimeout as sleep } from 'node:timers/promises';
import { Given, Then, When, World } from '@cucumber/cucumber';
import { RepeatedTraffic } from '../support/repeatedTraffic.js';
import type { CrashFleet } from '../support/crashFleet.js';
import { troubles } from '../support/fleetTroubles.js';

interface RepeatedWorld extends World {
  crashFleet: CrashFleet;
  repeated: RepeatedTraffic;
}

const msPerSecond = 1_000;
const name = 'repeated';
const crashesBeforeBound = 3;
/** Time for endpoints to come back and for entries to use them again, in milliseconds. */
const recoveryMs = 6_000;
const requestsAfter = 40;

/** How endpoints end that no request crashes; called every second. */
const ends: Readonly<Record<string, (fleet: CrashFleet, second: number) => Promise<void> | void>> =
  {
    'all at once': (fleet, second) => {
      if (second % 3 === 0) fleet.crashEndpoints(fleet.endpointIndices);
    },
    'all within 250 ms': async (fleet, second) => {
      if (second % 3 !== 0) return;
      for (const index of fleet.endpointIndices) {
        fleet.crashEndpoints([index]);
        await sleep(120);
      }
    },
    'in turn': (fleet, second) => fleet.crashEndpoints([second % fleet.endpointCount]),
  };

Given(
  /^endpoints that end are back after (\d+) ms under (new ids|the ids that they had)$/,
  function back(this: RepeatedWorld, ms: string, ids: string) {
    Object.assign(this.crashFleet, { restartMs: Number(ms), keepsIds: ids !== 'new ids' });
  },
);

Given(
  /^a request that is repeated was served (\d+) times$/,
  { timeout: 30_000 },
  async function serve(this: RepeatedWorld, times: string) {
    this.repeated = new RepeatedTraffic(this.crashFleet, name);
    await this.repeated.serve(Number(times));
  },
);

When(
  /^it crashes endpoints, (\d+) sent each (\d+) ms for (\d+) seconds, and (.+)$/,
  { timeout: 60_000 },
  async function come(
    this: RepeatedWorld,
    copies: string,
    intervalMs: string,
    seconds: string,
    trouble: string,
  ) {
    this.crashFleet.causes.add(name);
    const pace = { copies: Number(copies), intervalMs: Number(intervalMs) };
    await Promise.all([
      this.repeated.run(Number(seconds) * msPerSecond, pace),
      troubles[trouble]!(this.crashFleet),
    ]);
  },
);

When(
  /^it is sent each (\d+) ms for (\d+) seconds while endpoints end (.+)$/,
  { timeout: 60_000 },
  async function end(this: RepeatedWorld, intervalMs: string, seconds: string, how: string) {
    const pace = { copies: 2, intervalMs: Number(intervalMs) };
    const running = this.repeated.run(Number(seconds) * msPerSecond, pace);
    for (let second = 0; second < Number(seconds); second += 1) {
      await ends[how]!(this.crashFleet, second);
      await sleep(msPerSecond);
    }
    await running;
    await sleep(recoveryMs);
  },
);

Then(
  /^at most (\d+) of its copies reach endpoints later than (\d+) seconds after the third crash$/,
  function bounded(this: RepeatedWorld, most: string, seconds: string) {
    const { arrivals, crashes } = this.crashFleet;
    const ended = crashes.filter(({ cause }) => cause === name);
    const third = ended[crashesBeforeBound - 1];
    assert.ok(third, `${ended.length} crashes`);
    const from = third.at + Number(seconds) * msPerSecond;
    const late = arrivals.filter(({ at }) => at > from);
    const { sent, served } = this.repeated.others;
    const seen = `${late.length} late of ${arrivals.length}, ${ended.length} crashes, ${served} of ${sent} others served`;
    this.log(seen);
    assert.ok(late.length <= Number(most), seen);
  },
);

Then(
  /^it is served again, ([\d.]+) of its copies$/,
  { timeout: 30_000 },
  async function served(this: RepeatedWorld, least: string) {
    const share = await this.repeated.servedShare(requestsAfter);
    this.log(`${share.toFixed(2)} served`);
    assert.ok(share >= Number(least), `${share.toFixed(2)} served`);
  },
);
