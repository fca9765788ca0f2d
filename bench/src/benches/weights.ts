import type { BenchRun, Measurement } from '../figure.js';
import { minTransferMs, pacedTransfer } from '../weights/pacedTransfer.js';
import type { PacedOutcome } from '../weights/pacedTransfer.js';

const sizes = [8, 16, 32, 64] as const;
const quickSizes = [8, 16] as const;
const growthFrom = 16;

/**
 * Time until N members in real processes (four members per process) hold a complete version over
 * rate-limited links, compared with an origin-only transfer in the same run.
 */
export async function weights({ quick }: BenchRun): Promise<readonly Measurement[]> {
  const outcomes = new Map<number, PacedOutcome>();
  for (const size of quick ? quickSizes : sizes) {
    outcomes.set(size, await pacedTransfer(size, 'trees'));
  }
  const lowerBound = minTransferMs();
  const largest = Math.max(...outcomes.keys());
  const { durationMs, originCopies, remoteCopies } = outcomes.get(largest)!;
  const originOnly = await pacedTransfer(largest, 'originOnly');
  const times = [...outcomes].map(([size, outcome]) => ({
    name: `time_to_${size}`,
    value: outcome.durationMs,
    unit: 'ms',
  }));
  const figures = [
    ...times,
    { name: 'lower_bound', value: lowerBound, unit: 'ms' },
    { name: `origin_only_time_to_${largest}`, value: originOnly.durationMs, unit: 'ms' },
    { name: 'copies_into_each_remote_region', value: remoteCopies },
  ];
  if (quick) return figures;
  return [
    ...figures,
    { name: 'time_to_64_over_lower_bound', value: durationMs / lowerBound },
    { name: 'time_growth_16_to_64', value: durationMs / outcomes.get(growthFrom)!.durationMs },
    { name: 'origin_copies_in_all_64', value: originCopies },
    { name: 'speed_up_over_origin_only_64', value: originOnly.durationMs / durationMs },
  ];
}
