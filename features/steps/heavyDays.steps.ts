import assert from 'node:assert/strict';
import { Then, When } from '@cucumber/cucumber';
import { HeavyDay } from '@laburnumstream/bench';
import type { HeavyOutcome } from '@laburnumstream/bench';
import { ServedRatios } from '@laburnumstream/decisions';

interface HeavyWorld {
  heavy: Map<string, HeavyOutcome[]>;
}

const seeds = [1, 2, 3] as const;
const seconds = 20;
const policyNames = ['own', 'bare-cap', 'first-come'] as const;

/** Simulates a heavily loaded fleet under one queueing policy, once per seed. */
async function runPolicy(policy: string, engines: number): Promise<HeavyOutcome[]> {
  const shape = { engines, entries: 7, regions: 3, rateFactor: 1, seconds, policy };
  return Promise.all(seeds.map((seed) => new HeavyDay({ ...shape, seed }).run()));
}

async function runAllPolicies(engines: number): Promise<HeavyWorld['heavy']> {
  const outcomes = new Map<string, HeavyOutcome[]>();
  for (const policy of policyNames) outcomes.set(policy, await runPolicy(policy, engines));
  return outcomes;
}

function mean(
  outcomes: readonly HeavyOutcome[],
  getValue: (outcome: HeavyOutcome) => number,
): number {
  return outcomes.reduce((sum, outcome) => sum + getValue(outcome), 0) / outcomes.length;
}

When(
  '6 engines are asked for a third more than they can do',
  async function over(this: HeavyWorld) {
    this.heavy = await runAllPolicies(6);
  },
);

When('9 engines are asked for nearly all that they can do', async function full(this: HeavyWorld) {
  this.heavy = await runAllPolicies(9);
});

Then(
  "the product's way has more in time than first-come and than a bare cap with each seed",
  function compare(this: HeavyWorld) {
    const [own, cap, first] = policyNames.map((policy) =>
      this.heavy.get(policy)!.map(({ inTime }) => inTime),
    );
    own!.forEach((served, index) => {
      assert.ok(served > cap![index]!, `seed ${seeds[index]}: ${served}, cap ${cap![index]}`);
      assert.ok(served > first![index]!, `seed ${seeds[index]}: ${served}, first ${first![index]}`);
    });
  },
);

Then('requests whose like are served less often than all get the lead back', () => {
  const shares = new ServedRatios();
  for (let request = 0; request < 100; request += 1) {
    const now = request * 20;
    shares.recordArrival(['long'], now);
    shares.recordArrival(['short'], now);
    shares.recordServed(['long'], now);
    if (request % 2 === 0) shares.recordServed(['short'], now);
  }
  const now = 2_000;
  assert.ok(shares.surplus(['long'], now) > 0.2, `long leads by ${shares.surplus(['long'], now)}`);
  assert.ok(
    shares.surplus(['short'], now) < -0.2,
    `short leads by ${shares.surplus(['short'], now)}`,
  );
  assert.equal(shares.surplus(['short'], now + 20_000), 0);
});

Then('0.9 of the best that knows all sizes is in time', function best(this: HeavyWorld) {
  const reached = mean(
    this.heavy.get('own')!,
    ({ creditInTime, optimalCredit }) => creditInTime / optimalCredit,
  );
  assert.ok(reached >= 0.9, `${reached}`);
});

Then(
  'workspaces, kinds and the largest tenth are served at least 0.95 times as often as all',
  function shares(this: HeavyWorld) {
    const own = this.heavy.get('own')!;
    const workspace = mean(own, ({ minWorkspaceShare }) => minWorkspaceShare);
    const kind = mean(own, ({ minKindShare }) => minKindShare);
    const largest = mean(own, ({ largestTenthShare }) => largestTenthShare);
    assert.ok(
      workspace >= 0.95 && kind >= 0.95 && largest >= 0.95,
      `workspace ${workspace}, kind ${kind}, largest ${largest}`,
    );
  },
);
