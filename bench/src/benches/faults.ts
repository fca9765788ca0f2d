import { runFaults } from '../faults/faultRun.js';
import type { BenchRun, Measurement } from '../figure.js';

const defaultRuns = 6;
const quickRuns = 1;
const durationMs = 4_000;

/** Seeded runs with two or three faults at once; counts invariant violations. */
export async function faults({ seed, quick, runs }: BenchRun): Promise<readonly Measurement[]> {
  const count = runs || (quick ? quickRuns : defaultRuns);
  let violations = 0;
  let completions = 0;
  let complete = 0;
  for (let number = 0; number < count; number += 1) {
    const outcome = await runFaults(seed + number, durationMs);
    console.log(`seed ${seed + number}: ${outcome.faults.join(' + ')}`);
    outcome.violations.forEach(({ invariant, detail }) =>
      console.log(`  broken ${invariant}: ${detail}`),
    );
    violations += outcome.violations.length;
    completions += outcome.completions;
    complete += outcome.completeShare * outcome.completions;
  }
  return [
    { name: 'invariant_breaks', value: violations },
    { name: 'runs', value: count, unit: 'count' },
    { name: 'whole_answers', value: complete / completions, unit: 'share' },
  ];
}
