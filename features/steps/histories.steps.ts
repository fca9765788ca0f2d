import assert from 'node:assert/strict';
import { Then, When } from '@cucumber/cucumber';
import { FaultKind, PlantedFault, RequestKind, drawPlan, runHistory } from '@laburnumstream/bench';
import type { HistoryPlan, Verdicts } from '@laburnumstream/bench';
import fc from 'fast-check';

const propertySeed = 7;
const historiesPerFault = 60;

type Finding = 'mostRuns' | 'falseNotRun' | 'lostOrCrossed';

interface HistoriesWorld {
  historiesFailure: string | undefined;
  plantedVerdicts: Verdicts[];
}

const timeMs = fc.integer({ min: 0, max: 2_000 });

const plans: fc.Arbitrary<HistoryPlan> = fc.record({
  seed: fc.integer({ min: 1, max: 1_000_000 }),
  faults: fc.array(
    fc.record({
      kind: fc.constantFrom(...Object.values(FaultKind)),
      atMs: timeMs,
      agent: fc.integer({ min: 0, max: 2 }),
      entry: fc.integer({ min: 0, max: 1 }),
      durationMs: fc.integer({ min: 1, max: 10_000 }),
    }),
    { maxLength: 8 },
  ),
  requests: fc.array(
    fc.record({
      kind: fc.constantFrom(...Object.values(RequestKind)),
      atMs: timeMs,
      entry: fc.integer({ min: 0, max: 1 }),
      sendsConcurrentCopy: fc.boolean(),
    }),
    { minLength: 1, maxLength: 10 },
  ),
});

function isClean({ mostRuns, falseNotRun, lostOrCrossed }: Verdicts): boolean {
  return mostRuns <= 1 && falseNotRun === 0 && lostOrCrossed === 0;
}

When(
  '{int} random histories run with kills, freezes, cuts and lost answers',
  async function run(this: HistoriesWorld, numRuns: number) {
    const property = fc.asyncProperty(plans, async (plan) => isClean(await runHistory(plan)));
    const result = await fc.check(property, { numRuns, seed: propertySeed });
    this.historiesFailure = result.failed ? JSON.stringify(result.counterexample) : undefined;
  },
);

Then(
  'none runs a request twice, calls one that ran not run, or loses or crosses an answer',
  function check(this: HistoriesWorld) {
    assert.equal(this.historiesFailure, undefined);
  },
);

When(
  'histories run with the planted fault {word}',
  async function plant(this: HistoriesWorld, name: keyof typeof PlantedFault) {
    this.plantedVerdicts = [];
    for (let seed = 1; seed <= historiesPerFault; seed += 1) {
      this.plantedVerdicts.push(await runHistory(drawPlan(seed, 6, 12), PlantedFault[name]));
    }
  },
);

Then('the checker finds {word}', function check(this: HistoriesWorld, finding: Finding) {
  const allowed = finding === 'mostRuns' ? 1 : 0;
  assert.ok(this.plantedVerdicts.some((verdicts) => verdicts[finding] > allowed));
});
