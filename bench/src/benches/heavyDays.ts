import type { BenchRun, Measurement } from '../figure.js';
import { HeavyDay } from '../heavyDays/heavyDay.js';
import type { HeavyOutcome, HeavyShape } from '../heavyDays/heavyDay.js';
import { ways } from '../heavyDays/ways.js';

/** Deployments of the users' sheets, by how much more is asked than their engines can do. */
const loads: Readonly<Record<string, Omit<HeavyShape, 'seed' | 'way' | 'seconds'>>> = {
  full: { engines: 9, entries: 7, regions: 3, factor: 1 },
  over: { engines: 6, entries: 7, regions: 3, factor: 1 },
};

function mean(outcomes: readonly HeavyOutcome[], of: (outcome: HeavyOutcome) => number): number {
  return outcomes.reduce((sum, outcome) => sum + of(outcome), 0) / outcomes.length;
}

/** Compares ways of admission on loads that engines can just or cannot do, in virtual time. */
export async function heavyDays({ seed, quick, runs }: BenchRun): Promise<readonly Measurement[]> {
  const seconds = quick ? 10 : 30;
  const measurements: Measurement[] = [];
  for (const [load, shape] of Object.entries(loads)) {
    for (const way of Object.keys(ways)) {
      const outcomes: HeavyOutcome[] = [];
      for (let run = 0; run < Math.max(1, runs); run += 1) {
        const day = new HeavyDay({ ...shape, way, seconds, seed: seed + run });
        outcomes.push(await day.run());
      }
      const figure = (name: string, of: (outcome: HeavyOutcome) => number): void => {
        measurements.push({
          name: `${load}_${way}_${name}`,
          value: mean(outcomes, of),
          unit: 'share',
        });
      };
      figure('in_time', ({ inTime, asked }) => inTime / asked);
      figure('late', ({ late, asked }) => late / asked);
      figure('refused', ({ refused, asked }) => refused / asked);
      figure('credit_of_best', ({ creditInTime, creditAtBest }) => creditInTime / creditAtBest);
      figure('least_workspace', ({ leastWorkspaceShare }) => leastWorkspaceShare);
      figure('least_kind', ({ leastKindShare }) => leastKindShare);
      figure('largest_tenth', ({ largestShare }) => largestShare);
    }
  }
  return measurements;
}
