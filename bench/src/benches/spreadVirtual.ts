import { applyChange } from '@laburnumstream/entry';
import type { BenchRun, Measurement } from '../figure.js';
import { percentile } from '../percentile.js';
import { countReverts } from '../virtual/reverts.js';
import { VirtualFleet } from '../virtual/virtualFleet.js';
import type { VirtualShape } from '../virtual/virtualFleet.js';

const secondMs = 1_000;
const settleMs = 6_000;
const changeIntervalMs = 4_000;
const storeWindowMs = 12_000;
const restartWindowMs = 10_000;
const changesPerDay = 750;
const secondsPerDay = 86_400;
const bytesPerKB = 1_024;
const quantile = 0.99;
const target = { dataCentres: 6, entries: 370, agents: 2_400 };

function makeChange(index: number) {
  const by = { author: 'bench', reason: 'bench', at: 1 };
  return applyChange(by, { defaults: { maxQueue: index + 10 } });
}

function countFleetReverts({ histories }: VirtualFleet): number {
  return histories.reduce((sum, history) => sum + countReverts(history), 0);
}

/** Applies changes; returns the delays in milliseconds until each process had them in force. */
async function measureDelays(fleet: VirtualFleet, changes: number): Promise<number[]> {
  const delays: number[] = [];
  for (let index = 0; index < changes; index += 1) {
    const entry = fleet.entries[(index * 61) % fleet.entries.length]!;
    const startedMs = fleet.clock.now();
    const revision = await fleet.applyChange(makeChange(index), entry);
    await fleet.advance(changeIntervalMs);
    fleet.histories.forEach((history) => {
      const first = history.find((applied) => applied.revision >= revision);
      delays.push(first ? first.atMs - startedMs : Infinity);
    });
  }
  return delays;
}

function totalSent(fleet: VirtualFleet): number {
  return [...fleet.sentBytes.values()].reduce((sum, bytes) => sum + bytes, 0);
}

async function storeCallsPerSecond(shape: VirtualShape): Promise<number> {
  const fleet = new VirtualFleet(shape);
  await fleet.advance(settleMs);
  await fleet.applyChange(makeChange(0), fleet.entries[0]!);
  const before = fleet.content.calls;
  await fleet.advance(storeWindowMs);
  return (fleet.content.calls - before) / (storeWindowMs / secondMs);
}

/** Store calls in the first seconds after a simultaneous restart of all entries. */
async function countRestartCalls(fleet: VirtualFleet): Promise<number> {
  const before = fleet.content.calls;
  [...fleet.entries].forEach((entry) => fleet.restart(entry));
  await fleet.advance(restartWindowMs);
  return fleet.content.calls - before;
}

/** Configuration spread at the target size in virtual time, with the product's logic. */
export async function spreadVirtual({ seed, quick }: BenchRun): Promise<readonly Measurement[]> {
  const shape = { seed, ...target };
  const fleet = new VirtualFleet(shape);
  await fleet.advance(settleMs);
  await fleet.applyChange(makeChange(0), fleet.entries[0]!);
  await fleet.advance(changeIntervalMs);
  const idleMs = quick ? 5_000 : 30_000;
  const idleBefore = totalSent(fleet);
  await fleet.advance(idleMs);
  const idleBytes = (totalSent(fleet) - idleBefore) / (idleMs / secondMs) / target.entries;
  const changes = quick ? 1 : 8;
  const delays = await measureDelays(fleet, changes);
  const spreadBytes =
    (totalSent(fleet) - idleBefore) / target.entries / changes -
    idleBytes * ((changeIntervalMs + idleMs / changes) / secondMs);
  const bytes = idleBytes + (spreadBytes * changesPerDay) / secondsPerDay;
  const calls = await storeCallsPerSecond({ ...shape, agents: 0 });
  const callsOfSmallFleet = await storeCallsPerSecond({ ...shape, entries: 37, agents: 0 });
  const restart = await countRestartCalls(fleet);
  return [
    { name: 'in_force_p99_at_target', value: percentile(delays, quantile) / secondMs },
    { name: 'in_force_max_at_target', value: Math.max(...delays) / secondMs, unit: 's' },
    { name: 'store_calls_at_target', value: calls, unit: 'per_second' },
    {
      name: 'store_calls_growth_37_to_370_virtual',
      value: calls / callsOfSmallFleet,
      unit: 'ratio',
    },
    { name: 'store_calls_full_restart_10_s', value: restart, unit: 'count' },
    { name: 'sent_per_entry_at_target', value: bytes / bytesPerKB, unit: 'KB_per_s' },
    { name: 'reverts_at_target', value: countFleetReverts(fleet), unit: 'count' },
  ];
}
