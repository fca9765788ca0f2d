import assert from 'node:assert/strict';
import { After, Given, Then, When, World } from '@cucumber/cucumber';
import { SleepAwareClock, StoreUnavailable } from '@laburnumstream/common';
import type { Log, StoreChanges, StoreFeed, StorePosition } from '@laburnumstream/common';
import { ConfigurationFreshness } from '@laburnumstream/decisions';
import { DatedStore, FleetState, FleetWatcher } from '@laburnumstream/forwarding';
import { storeCodec } from '@laburnumstream/platform';
import { VirtualClock } from '@laburnumstream/standins';
import { noopLog, noopMetrics } from '../support/largeFleet.js';
import { platformBounds } from '../support/platformBounds.js';
import { SteppedClock } from '../support/steppedClock.js';

interface ClockWorld extends World {
  virtualClock: VirtualClock;
  steppedClock: SteppedClock;
  steppedStore: WaitingStore;
  steppedWatcher: FleetWatcher;
  proof: ConfigurationFreshness;
  proofClock: SleepAwareClock;
  watchAbort: AbortController;
  warnings: string[];
}

const secondMs = 1_000;
const requestIntervalMs = 20;
const responseMs = 5;
const callTimeoutMs = 700;
const maxProofAgeMs = 4_600;
const changedAfterMs = 2_500;

/** A store that answers a watch at the end of its wait, or not at all while it is silent. */
class WaitingStore implements StoreFeed {
  isSilent = false;

  calls = 0;

  /** Virtual time of a change that ends a watch, in milliseconds. */
  changeAt = Infinity;

  constructor(private readonly clock: VirtualClock) {}

  async snapshot(): Promise<{ values: []; revision: number }> {
    await this.clock.sleep(responseMs);
    return { values: [], revision: 1 };
  }

  async changes(
    _prefix: string,
    { revision: after }: StorePosition,
    waitMs: number,
    signal?: AbortSignal,
  ): Promise<StoreChanges> {
    this.calls += 1;
    const leftMs = Math.max(0, this.changeAt - this.clock.now());
    const isChanged = leftMs < waitMs;
    await this.clock.sleep(Math.min(waitMs, leftMs) + responseMs, signal);
    if (this.isSilent) {
      await this.clock.sleep(callTimeoutMs, signal);
      throw new StoreUnavailable('The store does not respond.');
    }
    if (!isChanged) return { changes: [], revision: after };
    this.changeAt = Infinity;
    const change = { key: 'op/evacuate/a', value: '{}', revision: after + 1 };
    return { changes: [change], revision: after + 1 };
  }
}

function start(world: ClockWorld, changeAt: number): void {
  const virtualClock = new VirtualClock();
  const steppedClock = new SteppedClock(virtualClock);
  const steppedStore = new WaitingStore(virtualClock);
  steppedStore.changeAt = changeAt;
  const proof = new ConfigurationFreshness(maxProofAgeMs, maxProofAgeMs);
  const proofClock = new SleepAwareClock(steppedClock);
  const warnings: string[] = [];
  const log: Log = { ...noopLog, warn: (message) => warnings.push(message) };
  const steppedWatcher = new FleetWatcher(
    new DatedStore(steppedStore, proofClock, platformBounds),
    storeCodec,
    new FleetState(noopMetrics, noopLog, () => undefined),
    proof,
    proofClock,
    steppedClock,
    noopMetrics,
    log,
    platformBounds,
  );
  const watchAbort = new AbortController();
  const parts = { virtualClock, steppedClock, steppedStore, steppedWatcher, proof, proofClock };
  Object.assign(world, parts, { watchAbort, warnings });
  void steppedWatcher.run(watchAbort.signal);
}

/** Whether a request that comes now is accepted; otherwise the entry asks the store at once. */
function acceptsKey({ proof, proofClock, steppedWatcher }: ClockWorld): boolean {
  if (proof.mayAcceptKeys(proofClock.now())) return true;
  steppedWatcher.confirmNow();
  return false;
}

After(function end(this: Partial<ClockWorld>) {
  this.watchAbort?.abort();
});

Given(
  'an entry that follows a store and has waited for a change for {int} ms',
  async function wait(this: ClockWorld, ms: number) {
    start(this, Infinity);
    await this.virtualClock.runUntil(2 * secondMs);
    const { calls } = this.steppedStore;
    while (this.steppedStore.calls === calls)
      await this.virtualClock.runUntil(this.virtualClock.now() + requestIntervalMs);
    await this.virtualClock.runUntil(this.virtualClock.now() + ms);
    assert.ok(acceptsKey(this));
  },
);

Given(
  'an entry that follows a store and has just got a change',
  async function change(this: ClockWorld) {
    start(this, changedAfterMs);
    await this.virtualClock.runUntil(changedAfterMs + requestIntervalMs);
    assert.equal(this.steppedStore.changeAt, Infinity);
    assert.ok(acceptsKey(this));
  },
);

When(
  /^its time of day is set (ahead|back) by (\d+) seconds$/,
  function step(this: ClockWorld, direction: string, seconds: string) {
    this.steppedClock.stepMs += (direction === 'ahead' ? 1 : -1) * Number(seconds) * secondMs;
    this.steppedStore.calls = 0;
  },
);

When('the store falls silent', function silence(this: ClockWorld) {
  this.steppedStore.isSilent = true;
});

When('the store answers again', function answer(this: ClockWorld) {
  this.steppedStore.isSilent = false;
});

When('{int} ms have passed', async function pass(this: ClockWorld, ms: number) {
  await this.virtualClock.runUntil(this.virtualClock.now() + ms);
});

Then(
  'it accepts keys within {int} ms, with a request each 20 ms',
  async function accepts(this: ClockWorld, ms: number) {
    const from = this.virtualClock.now();
    while (!acceptsKey(this)) {
      const passedMs = this.virtualClock.now() - from;
      assert.ok(passedMs < ms, `no key accepted after ${passedMs} ms`);
      await this.virtualClock.runUntil(this.virtualClock.now() + requestIntervalMs);
    }
  },
);

Then(
  'it accepts no keys for {int} ms, with a request each 20 ms',
  async function refuses(this: ClockWorld, ms: number) {
    const until = this.virtualClock.now() + ms;
    while (this.virtualClock.now() < until) {
      assert.ok(!acceptsKey(this));
      await this.virtualClock.runUntil(this.virtualClock.now() + requestIntervalMs);
    }
  },
);

Then('it has noticed that the store is away', function noticed(this: ClockWorld) {
  assert.ok(this.warnings.includes('Store not reachable.'));
});

Then('at most {int} calls were begun since', function few(this: ClockWorld, most: number) {
  assert.ok(this.steppedStore.calls <= most, `${this.steppedStore.calls} calls`);
});
