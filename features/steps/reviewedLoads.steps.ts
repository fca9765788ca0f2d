import assert from 'node:assert/strict';
import { Given, Then, When, World } from '@cucumber/cucumber';
import { SeededRandom } from '@laburnumstream/common';
import type { EndpointHandle } from '@laburnumstream/forwarding';
import { storeCodec } from '@laburnumstream/platform';
import { LargeFleet, anyEndpoint, createEndpoint } from '../support/largeFleet.js';
import { createModelConfiguration } from '../support/platformFleet.js';

interface ReviewedLoadsWorld extends World {
  largeFleet: LargeFleet;
  localEntries: number;
  remoteEntries: number;
}

const service = 'model';
/** Index of an endpoint in another region than the entry's. */
const remoteIndex = 3;
const layers = { from: 0, to: 16, version: 1 };
const msPerSecond = 1_000;

function apply({ largeFleet: { state, clock } }: ReviewedLoadsWorld, key: string, value: object) {
  const change = storeCodec.decode({ key, value: JSON.stringify(value), revision: 1 });
  state.apply(change!, clock.now());
}

function register({ largeFleet: { state, directory } }: ReviewedLoadsWorld, version: number): void {
  const endpoint = createEndpoint(remoteIndex);
  state.setEndpoint({ ...endpoint, service, slots: 16, layers: { ...layers, version } }, 0);
  directory.refresh();
}

function findEngine({ largeFleet: { directory } }: ReviewedLoadsWorld): EndpointHandle {
  return directory.get(createEndpoint(remoteIndex).id)!;
}

/** Applies the last report of the engine's agent, and lets time pass. */
async function endAgent(world: ReviewedLoadsWorld, seconds: number): Promise<void> {
  const { directory, clock } = world.largeFleet;
  const handle = findEngine(world);
  const load = { running: 0, waiting: 0, slowdown: 1 };
  const sharers = directory.getCapacitySharers(handle.region);
  handle.applyLoadReport(load, sharers, new SeededRandom(1), clock.now());
  await clock.runUntil(clock.now() + seconds * msPerSecond);
}

Given(
  /^an engine with 16 slots, (\d+) entries of its region and (\d+) of others$/,
  function engine(this: ReviewedLoadsWorld, local: string, remote: string) {
    this.largeFleet = new LargeFleet(0, 0);
    this.localEntries = Number(local);
    this.remoteEntries = Number(remote);
    const { state } = this.largeFleet;
    for (let index = 0; index < this.remoteEntries; index += 1)
      state.setEntry(`front-${index}`, { host: `10.0.0.${index}`, dataCentre: 'a' });
    for (let index = 0; index < this.localEntries; index += 1)
      state.setEntry(`other-${index}`, { host: `10.0.1.${index}`, dataCentre: 'd' });
    apply(this, 'op/config', createModelConfiguration(1));
    apply(this, 'op/version/m', { Model: 'm', Version: 1 });
    register(this, 1);
  },
);

When(
  /^its agent has ended (\d+) seconds ago$/,
  async function ended(this: ReviewedLoadsWorld, seconds: string) {
    await endAgent(this, Number(seconds));
  },
);

When(
  /^its agent has ended (\d+) seconds ago during an order, and it is registered with the new version$/,
  async function switching(this: ReviewedLoadsWorld, seconds: string) {
    apply(this, 'op/version/m', { Model: 'm', Version: 2 });
    Object.assign(findEngine(this), { isSwitching: true, reportedVersion: 1 });
    await endAgent(this, Number(seconds));
    register(this, 2);
  },
);

Then(
  /^all entries together have at most (\d+) requests there, and at least (\d+)$/,
  function share(this: ReviewedLoadsWorld, most: string, least: string) {
    const { directory } = this.largeFleet;
    const { load, slots } = findEngine(this);
    while (directory.available(service, anyEndpoint).length > 0) load.recordStart(0);
    // Entries of the engine's region know each other's loads, and fill its slots together.
    const local = this.localEntries > 0 ? slots : 0;
    const count = load.ownRequests * this.remoteEntries + local;
    assert.ok(count >= Number(least) && count <= Number(most), `${count} requests`);
  },
);

Then('it may get requests', function used(this: ReviewedLoadsWorld) {
  assert.equal(this.largeFleet.directory.available(service, anyEndpoint).length, 1);
});
