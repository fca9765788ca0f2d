import assert from 'node:assert/strict';
import { setTimeout as sleep } from 'node:timers/promises';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { RemoteRegion } from '../support/remoteRegion.js';
import type { WrittenVersion } from '../support/remoteRegion.js';

const msPerSecond = 1_000;
/** Time for which a version that has not come into force in time is still waited for, in milliseconds. */
const patienceMs = 12_000;

interface LargeConfigurationWorld {
  region: RemoteRegion;
  written: WrittenVersion[];
  /** Bytes that the link had carried before the first version. */
  bytesBefore: number;
}

Given(
  /^(\d+) entries behind a link that is narrow for them(?:, in a fleet of (\d+) regions)?$/,
  { timeout: 20_000 },
  async function start(this: LargeConfigurationWorld, count: string, regions: string | null) {
    this.region = await RemoteRegion.start(Number(count), Number(regions ?? 2));
  },
);

After(function close(this: Partial<LargeConfigurationWorld>) {
  this.region?.close();
});

When(
  /^(\d+) configurations with (\d+) more routes are written ([\d.]+) seconds apart$/,
  { timeout: 20_000 },
  async function write(
    this: LargeConfigurationWorld,
    count: string,
    routes: string,
    seconds: string,
  ) {
    this.bytesBefore = this.region.link.transmittedBytes;
    this.written = [];
    for (let index = 0; index < Number(count); index += 1) {
      if (index > 0) await sleep(Number(seconds) * msPerSecond);
      const at = performance.now();
      this.written.push({ version: this.region.writeConfiguration(Number(routes)), at });
    }
  },
);

When(/^(\d+) seconds have passed$/, { timeout: 20_000 }, (seconds: string) =>
  sleep(Number(seconds) * msPerSecond),
);

Then(
  /^each is in force at all entries within (\d+) seconds$/,
  { timeout: 60_000 },
  async function inForce(this: LargeConfigurationWorld, seconds: string) {
    const times: number[] = [];
    for (const { version, at } of this.written) {
      times.push(await this.region.waitForVersion(version, at, patienceMs));
    }
    const isLate = times.some((ms) => ms > Number(seconds) * msPerSecond);
    assert.ok(!isLate, `in force after ${times.map(Math.round).join(', ')} ms`);
  },
);

Then(
  'no request of a route with a home runs outside it',
  async function home(this: LargeConfigurationWorld) {
    const before = this.region.remoteEngine.startedRequestIds.length;
    const responses = await this.region.sendToAll('/open/at-home/x');
    const statuses = responses.map(({ status }) => status).join();
    const outside = this.region.remoteEngine.startedRequestIds.length - before;
    assert.equal(outside, 0, `${outside} ran outside, with the statuses ${statuses}`);
    assert.match(statuses, /^(200,?)+$/);
  },
);

Then(
  /^requests with a key are answered for (\d+) seconds$/,
  { timeout: 60_000 },
  async function answered(this: LargeConfigurationWorld, seconds: string) {
    await this.region.expectAnswers(this.region.entries, Number(seconds) * msPerSecond);
  },
);

Then(
  /^the link has carried at most (\d+) copies of each$/,
  function copies(this: LargeConfigurationWorld, limit: string) {
    const { link, configurationBytes } = this.region;
    const carried = (link.transmittedBytes - this.bytesBefore) / configurationBytes;
    const most = Number(limit) * this.written.length;
    // Watches and renewals of leases cross the link too, with a small part of one copy.
    assert.ok(
      carried < most + 0.1,
      `the link carried ${carried.toFixed(2)} copies, at most ${most}`,
    );
  },
);
