import type { BenchRun, Measurement } from '../figure.js';
import { HeavyDay } from '../heavyDays/heavyDay.js';
import type { HeavyOutcome, HeavyShape } from '../heavyDays/heavyDay.js';
import { admissionPolicies } from '../heavyDays/admissionPolicies.js';

/** Deployments from the users' data sheets: near full load and overloaded. */
const deployments: Readonly<Record<string, Omit<HeavyShape, 'seed' | 'policy' | 'seconds'>>> = {
  full: { engines: 9, entries: 7, regions: 3, rateFactor: 1 },
  over: { engines: 6, entries: 7, regions: 3, rateFactor: 1 },
};

function mean(
  outcomes: readonly HeavyOutcome[],
  valueOf: (outcome: HeavyOutcome) => number,
): number {
  return outcomes.reduce((sum, outcome) => sum + valueOf(outcome), 0) / outcomes.length;
}

/** Compares admission policies near full load and under overload in virtual time. */
export async function heavyDays({ seed, quick, runs }: BenchRun): Promise<readonly Measurement[]> {
  const seconds = quick ? 10 : 30;
  const measurements: Measurement[] = [];
  for (const [load, shape] of Object.entries(deployments)) {
    for (const policy of Object.keys(admissionPolicies)) {
      const outcomes: HeavyOutcome[] = [];
      for (let run = 0; run < Math.max(1, runs); run += 1) {
        const day = new HeavyDay({ ...shape, policy, seconds, seed: seed + run });
        outcomes.push(await day.run());
      }
      const add = (name: string, valueOf: (outcome: HeavyOutcome) => number): void => {
        measurements.push({
          name: `${load}_${policy}_${name}`,
          value: mean(outcomes, valueOf),
          unit: 'share',
        });
      };
      add('in_time', ({ inTime, requestCount }) => inTime / requestCount);
      add('late', ({ late, requestCount }) => late / requestCount);
      add('refused', ({ refused, requestCount }) => refused / requestCount);
      add('credit_of_best', ({ creditInTime, optimalCredit }) => creditInTime / optimalCredit);
      add('least_workspace', ({ minWorkspaceShare }) => minWorkspaceShare);
      add('least_kind', ({ minKindShare }) => minKindShare);
      add('largest_tenth', ({ largestTenthShare }) => largestTenthShare);
    }
  }
  return measurements;
}
