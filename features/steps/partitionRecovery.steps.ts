import assert from 'node:assert/strict';
import { setTimeout as sleep } from 'node:timers/promises';
import { Given, Then, When } from '@cucumber/cucumber';
import { StoreUnavailable } from '@laburnumstream/common';
import type { KeyValueStore } from '@laburnumstream/common';
import { EntryRegistration } from '@laburnumstream/forwarding';
import { RelayMode, VirtualClock } from '@laburnumstream/standins';
import { noopLog, noopMetrics } from '../support/largeFleet.js';
import type { RemoteRegion } from '../support/remoteRegion.js';

const msPerSecond = 1_000;
const pollMs = 10;
/** Time in which the entries have learned of each other, in milliseconds. */
const settleMs = 1_500;
/** Longest wait of a call to another entry: a proof counts from its start, which may be before the end, in milliseconds. */
const maxCallMs = 600;
/** Longest time for which a late answer is still waited for, in milliseconds. */
const patienceMs = 8_000;
const callTimeoutMs = 1_000;
const leaseMs = 9_000;

interface PartitionWorld {
  region: RemoteRegion;
  /** Monotonic time at which the partition ended, in milliseconds. */
  endedAt: number;
  /** Calls of each entry for the store's content during the partition. */
  calls: Map<RemoteRegion['entries'][number], number>;
  /** Oldest proof that the reader had, in milliseconds. */
  oldestProofMs: number;
  clock: VirtualClock;
  registration: EntryRegistration;
  renewedAt: number[];
}

const modes: Readonly<Record<string, RelayMode>> = {
  'is silent': RelayMode.silent,
  'closes connections': RelayMode.cut,
  'refuses connections': RelayMode.refused,
};

/** Returns the time from `since` until a condition holds, in milliseconds. */
async function measure(since: number, isDone: () => boolean): Promise<number> {
  while (performance.now() - since < patienceMs && !isDone()) await sleep(pollMs);
  return performance.now() - since;
}

When(
  /^the way to the store (is silent|closes connections|refuses connections) for ([\d.]+) seconds for all entries$/,
  { timeout: 20_000 },
  async function cut(this: PartitionWorld, fault: string, seconds: string) {
    const { entries } = this.region;
    await sleep(settleMs);
    const setMode = (mode: RelayMode): void =>
      entries.forEach(({ storeRelay }) => storeRelay.setMode(mode));
    entries.forEach(({ record }) => record.restart());
    setMode(modes[fault]!);
    await sleep(Number(seconds) * msPerSecond);
    this.calls = new Map(entries.map((entry) => [entry, entry.record.calls]));
    // Connections that were opened during the silence stay silent.
    setMode(RelayMode.open);
    this.endedAt = performance.now();
  },
);

Then(
  /^each entry accepts keys within ([\d.]+) seconds of the end$/,
  { timeout: 20_000 },
  async function accept(this: PartitionWorld, seconds: string) {
    const { endedAt, region } = this;
    const times = await Promise.all(
      region.entries.map(({ record }) =>
        measure(endedAt, () => record.provenAt > endedAt - maxCallMs),
      ),
    );
    const isLate = Math.max(...times) > Number(seconds) * msPerSecond;
    assert.ok(!isLate, `after ${times.map(Math.round).join(', ')} ms`);
    const responses = await region.sendToAll('/safe/x');
    responses.forEach(({ status }) => assert.equal(status, 200));
  },
);

Then(
  /^readers have called the store at most (\d+) times, and others at most (\d+) times$/,
  function called(this: PartitionWorld, maxOfReaders: string, maxOfOthers: string) {
    const { readers, others } = this.region;
    const count = (entries: typeof readers): number =>
      Math.max(...entries.map((entry) => this.calls.get(entry)!));
    assert.ok(count(readers) <= Number(maxOfReaders), `${count(readers)} calls of a reader`);
    assert.ok(count(others) <= Number(maxOfOthers), `${count(others)} calls of another entry`);
  },
);

When(
  /^the way to the store is silent for (\d+) seconds for one reader$/,
  { timeout: 20_000 },
  async function cutReader(this: PartitionWorld, seconds: string) {
    const [reader] = this.region.readers;
    await sleep(settleMs);
    const { record, storeRelay } = reader!;
    storeRelay.setMode(RelayMode.silent);
    const endAt = performance.now() + Number(seconds) * msPerSecond;
    this.oldestProofMs = 0;
    while (performance.now() < endAt) {
      this.oldestProofMs = Math.max(this.oldestProofMs, performance.now() - record.provenAt);
      await sleep(pollMs);
    }
  },
);

Then(
  /^the reader had a proof of at most ([\d.]+) seconds all the time$/,
  function proven(this: PartitionWorld, seconds: string) {
    assert.ok(this.oldestProofMs <= Number(seconds) * msPerSecond, `${this.oldestProofMs} ms`);
  },
);

/** A store of which only the calls for leases are used; `answer` resolves when it responds. */
function createLeaseStore(
  world: PartitionWorld,
  answer: (signal?: AbortSignal) => Promise<void>,
): KeyValueStore {
  const renew = async (signal?: AbortSignal): Promise<void> => {
    await answer(signal);
    world.renewedAt.push(world.clock.now());
  };
  return {
    grantLease: async (_ttlMs: number, signal?: AbortSignal) => {
      await answer(signal);
      return 'lease';
    },
    put: () => Promise.resolve(1),
    renewLease: (_lease: string, signal?: AbortSignal) => renew(signal),
  } as unknown as KeyValueStore;
}

function register(
  world: PartitionWorld,
  answer: (signal?: AbortSignal) => Promise<void>,
): EntryRegistration {
  const store = createLeaseStore(world, answer);
  const { clock } = world;
  const registration = new EntryRegistration(
    store,
    'key',
    'value',
    leaseMs,
    clock,
    noopMetrics,
    noopLog,
  );
  void registration.run(new AbortController().signal);
  return registration;
}

Given(
  /^an entry that renews its registration at a store that is silent from (\d+) to ([\d.]+) seconds$/,
  function silentStore(this: PartitionWorld, from: string, to: string) {
    this.clock = new VirtualClock();
    this.renewedAt = [];
    const { clock } = this;
    this.registration = register(this, async (signal) => {
      const seconds = clock.now() / msPerSecond;
      if (seconds < Number(from) || seconds >= Number(to)) return;
      await clock.sleep(callTimeoutMs, signal);
      throw new StoreUnavailable('No response arrives.');
    });
  },
);

Given(
  /^an entry that renews its registration at a store that takes ([\d.]+) seconds$/,
  function slowStore(this: PartitionWorld, seconds: string) {
    this.clock = new VirtualClock();
    this.renewedAt = [];
    this.registration = register(this, (signal) =>
      this.clock.sleep(Number(seconds) * msPerSecond, signal),
    );
  },
);

When(
  /^the entry learns at ([\d.]+) seconds and each ([\d.]+) seconds after that the store responds$/,
  async function learn(this: PartitionWorld, from: string, each: string) {
    const end = 30;
    for (let seconds = Number(from); seconds < end; seconds += Number(each)) {
      await this.clock.runUntil(seconds * msPerSecond);
      this.registration.handleStoreResponse();
    }
  },
);

Then(
  /^its registration is renewed by (\d+) seconds$/,
  function renewed(this: PartitionWorld, seconds: string) {
    const after = this.renewedAt.filter((at) => at > 20 * msPerSecond);
    assert.ok(Math.min(...after) <= Number(seconds) * msPerSecond, `renewed at ${after.join()}`);
  },
);
