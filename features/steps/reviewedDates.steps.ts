import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import type { EndpointHandle, FleetChange } from '@laburnumstream/forwarding';
import { LargeFleet, createEndpoint } from '../support/largeFleet.js';
import { platformBounds } from '../support/platformBounds.js';

interface ReviewedDatesWorld {
  largeFleet: LargeFleet;
  handle: EndpointHandle;
  /** Time at which the bound of the change is over, in milliseconds. */
  boundAt: number;
}

/** A change that retires an endpoint, and the time in which it has to be kept, in milliseconds. */
interface Retirement {
  readonly change: FleetChange;
  readonly boundMs: number;
}

const { drainMs, evacuationMs } = platformBounds;
const startedAt = 60_000;
const endpoint = createEndpoint(0);
const { id, dataCentre } = endpoint;

/** Changes that retire the endpoint, by what happens. */
const retirements: Readonly<Record<string, Retirement>> = {
  'is registered as drained': {
    change: { kind: 'endpoint', id, endpoint: { ...endpoint, isDraining: true } },
    boundMs: drainMs,
  },
  'is evacuated': {
    change: { kind: 'evacuation', dataCentre, isActive: true },
    boundMs: evacuationMs,
  },
  'is no longer registered': {
    change: { kind: 'endpoint', id, endpoint: undefined },
    boundMs: drainMs,
  },
};

Given(
  'an endpoint that has shown no sign of life',
  async function silent(this: ReviewedDatesWorld) {
    this.largeFleet = new LargeFleet(1, 1);
    this.handle = this.largeFleet.directory.get(id)!;
    await this.largeFleet.clock.runUntil(startedAt);
  },
);

When(
  /^an entry learns (\d+) ms before the bound that it (.+)$/,
  function learn(this: ReviewedDatesWorld, beforeMs: string, event: string) {
    const { state, directory, clock } = this.largeFleet;
    const { change, boundMs } = retirements[event]!;
    this.boundAt = clock.now() + Number(beforeMs);
    state.apply(change, this.boundAt - boundMs);
    directory.refresh();
  },
);

When(
  /^it (.+), and is evacuated (\d+) ms after$/,
  async function evacuate(this: ReviewedDatesWorld, event: string, afterMs: string) {
    const { state, directory, clock } = this.largeFleet;
    const { change, boundMs } = retirements[event]!;
    this.boundAt = clock.now() + boundMs;
    state.apply(change, clock.now());
    directory.refresh();
    await clock.runUntil(clock.now() + Number(afterMs));
    state.apply(retirements['is evacuated']!.change, clock.now());
    directory.refresh();
  },
);

Then(
  /^requests that wait there may start until (\d+) ms before the bound$/,
  async function until(this: ReviewedDatesWorld, beforeMs: string) {
    const { directory, clock } = this.largeFleet;
    await clock.runUntil(this.boundAt - Number(beforeMs));
    assert.equal(directory.startBounds.mayStart(this.handle), true);
  },
);

Then(
  'requests that wait there may not start after the bound',
  async function bound(this: ReviewedDatesWorld) {
    const { directory, clock } = this.largeFleet;
    await clock.runUntil(this.boundAt);
    assert.equal(directory.startBounds.mayStart(this.handle), false);
  },
);
