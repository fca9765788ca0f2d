import type { Fleet } from '../fleet.js';
import type { BenchRun, Measurement } from '../figure.js';
import { loadCapacity, offerLoads, startLoadFleet } from '../loadFleet.js';
import type { TimedCompletion } from '../loadFleet.js';
import { percentile } from '../percentile.js';

const factors = [1, 2, 5, 10] as const;

/** Results at one load level. */
interface LoadLevel {
  readonly goodput: number;
  readonly refusals: readonly number[];
  readonly broken: number;
}

async function measureLevel(fleet: Fleet, factor: number, seconds: number): Promise<LoadLevel> {
  const perWorkspace = (loadCapacity * factor) / 2;
  const byWorkspace = await offerLoads(
    fleet,
    { 'workspace-1': perWorkspace, 'workspace-2': perWorkspace },
    seconds,
  );
  const all: TimedCompletion[] = Object.values(byWorkspace).flat();
  const refusals = all.filter(({ error }) => error).map(({ totalMs }) => totalMs);
  const answered = all.filter(({ ended }) => ended).length;
  const broken = all.filter(({ status }) => status === 0).length;
  return { goodput: answered / seconds, refusals, broken };
}

/** Goodput and refusal latency at 1, 2, 5 and 10 times the capacity. */
export async function overload({ quick }: BenchRun): Promise<readonly Measurement[]> {
  const seconds = quick ? 2 : 10;
  const fleet = await startLoadFleet();
  try {
    const levels: LoadLevel[] = [];
    for (const factor of factors) levels.push(await measureLevel(fleet, factor, seconds));
    const [atCapacity, , , atTen] = levels;
    const goodputs = factors.map((factor, index) => ({
      name: `goodput_at_${factor}x`,
      value: levels[index]!.goodput,
      unit: 'per_second',
    }));
    return [
      { name: 'goodput_at_10x_over_capacity', value: atTen!.goodput / atCapacity!.goodput },
      { name: 'refusal_latency_p99', value: percentile(atTen!.refusals, 0.99) },
      { name: 'refusal_latency_p50', value: percentile(atTen!.refusals, 0.5), unit: 'ms' },
      {
        name: 'broken_connections',
        value: levels.reduce((sum, { broken }) => sum + broken, 0),
        unit: 'count',
      },
      { name: 'stated_capacity', value: loadCapacity, unit: 'per_second' },
      ...goodputs,
    ];
  } finally {
    await fleet.close();
  }
}
