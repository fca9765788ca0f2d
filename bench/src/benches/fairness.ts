import type { CompletionResult } from '../caller.js';
import type { BenchRun, Measurement } from '../figure.js';
import { loadCapacity, offerLoads, startLoadFleet } from '../loadFleet.js';
import { percentile } from '../percentile.js';

const smallPerSecond = 6;
const overloadFactor = 10;

function firstTokenTimes(completions: readonly CompletionResult[]): number[] {
  return completions.filter(({ ended }) => ended).map(({ firstTokenMs }) => firstTokenMs);
}

/** Time to first token of a small workspace, alone and beside two large ones that overload. */
export async function fairness({ quick }: BenchRun): Promise<readonly Measurement[]> {
  const seconds = quick ? 4 : 20;
  const fleet = await startLoadFleet();
  try {
    const smallRates = { 'workspace-0': smallPerSecond };
    const flood = (loadCapacity * overloadFactor) / 2;
    const alone = await offerLoads(fleet, smallRates, seconds);
    const largeRates = { 'workspace-1': flood, 'workspace-2': flood };
    const flooded = await offerLoads(fleet, { ...smallRates, ...largeRates }, seconds);
    const aloneTimes = firstTokenTimes(alone['workspace-0']!);
    const floodedTimes = firstTokenTimes(flooded['workspace-0']!);
    const ratio = (share: number) =>
      percentile(floodedTimes, share) / percentile(aloneTimes, share);
    const sent = flooded['workspace-0']!.length;
    return [
      { name: 'small_p95_flooded_over_alone', value: ratio(0.95) },
      { name: 'small_p50_flooded_over_alone', value: ratio(0.5), unit: 'ratio' },
      { name: 'small_p95_alone', value: percentile(aloneTimes, 0.95), unit: 'ms' },
      { name: 'small_p95_flooded', value: percentile(floodedTimes, 0.95), unit: 'ms' },
      { name: 'small_answered', value: floodedTimes.length / sent, unit: 'share' },
    ];
  } finally {
    await fleet.close();
  }
}
