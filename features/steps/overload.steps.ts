import assert from 'node:assert/strict';
import { After, Given, Then } from '@cucumber/cucumber';
import { Caller, Fleet } from '@laburnumstream/bench';
import type { FleetShape, CompletionResult } from '@laburnumstream/bench';
import { RetryBudget } from '@laburnumstream/decisions';

const shape: FleetShape = {
  dataCentres: [{ name: 'north-a', region: 'north', entries: 2 }],
  services: [{ name: 'assistant', kind: 'engine', endpoints: [2] }],
  originRegion: 'north',
};

interface OverloadWorld {
  overloadFleet: Fleet;
  overloadMaxUnits: number;
  overloadLarge: CompletionResult[];
  overloadSmall: CompletionResult[];
}

Then(
  'the retries of {int} refused requests stay within a tenth and the savings',
  (requests: number) => {
    const budget = new RetryBudget();
    let retries = 0;
    for (let index = 0; index < requests; index += 1) {
      const workspace = `workspace-${index % 3}`;
      budget.recordRequest(workspace);
      while (budget.tryAcquire(workspace)) retries += 1;
    }
    assert.ok(retries <= requests / 10 + 3 * 64, `${retries}`);
    assert.ok(retries >= requests / 10, `${retries}`);
  },
);

Then('a small workspace can retry while large ones have used up the overall budget', () => {
  const budget = new RetryBudget();
  for (let index = 0; index < 5_000; index += 1) {
    const workspace = `large-${index % 8}`;
    budget.recordRequest(workspace);
    while (budget.tryAcquire(workspace));
  }
  for (let retry = 0; retry < 20; retry += 1) assert.ok(budget.tryAcquire('small'));
});

async function sendLargeRequests(fleet: Fleet): Promise<CompletionResult[]> {
  const callers = fleet.entries.flatMap(({ callerUrl }) =>
    ['token-of-workspace-0', 'token-of-workspace-1'].map((token) => new Caller(callerUrl, token)),
  );
  const answers = Array.from({ length: 200 }, (_, index) =>
    callers[index % callers.length]!.complete('assistant', `large ${index}`, { maxTokens: 40 }),
  );
  const results = await Promise.all(answers);
  await Promise.all(callers.map((caller) => caller.close()));
  return results;
}

async function sendSmallRequests(fleet: Fleet): Promise<CompletionResult[]> {
  const caller = new Caller(fleet.entries[0]!.callerUrl, 'token-of-workspace-2');
  const results: CompletionResult[] = [];
  for (let index = 0; index < 10; index += 1) {
    results.push(await caller.complete('assistant', `small ${index}`, { maxTokens: 4 }));
  }
  await caller.close();
  return results;
}

Given(
  'a fleet of two engines that bear {int} units each under a flood of two workspaces',
  async function run(this: OverloadWorld, capacity: number) {
    const engine = { capacity, coldCapacity: capacity, prefillMs: 20, tokenMs: 5 };
    // A process that lacks CPU time on a busy machine must not count as failed, gone or paused.
    const options = { silenceMs: 20_000, memberTimeoutMs: 20_000, pauseLimitMs: 20_000 };
    this.overloadFleet = await Fleet.start(shape, {
      engine,
      optionOverrides: options,
      logLevel: 'warn',
    });
    const engines = this.overloadFleet.agents.map((agent) => agent.engine!);
    this.overloadMaxUnits = 0;
    const sampler = setInterval(() => {
      this.overloadMaxUnits = Math.max(
        this.overloadMaxUnits,
        ...engines.map((each) => each.runningUnits),
      );
    }, 1);
    const small = sendSmallRequests(this.overloadFleet);
    [this.overloadLarge, this.overloadSmall] = await Promise.all([
      sendLargeRequests(this.overloadFleet),
      small,
    ]);
    clearInterval(sampler);
  },
);

Then(
  'refusals are typed and true, small requests are answered and no engine got too much',
  function check(this: OverloadWorld) {
    const refused = this.overloadLarge.filter(({ ended }) => !ended);
    const answered = this.overloadLarge.filter(({ ended }) => ended);
    assert.ok(refused.length > 0 && answered.length > 0, `${refused.length} refused`);
    const runs = this.overloadFleet.agents.flatMap(({ engine }) => engine!.runs);
    const executedPrompts = new Set(runs.map(({ prompt }) => prompt));
    this.overloadLarge.forEach(({ ended, status, error }, index) => {
      if (ended) return;
      assert.equal(status, 429);
      assert.equal(error?.type, 'overloaded');
      assert.ok(Number(error?.retryAfterMs) > 0);
      // A connection lost before the refusal leaves the execution unknown, which is allowed; a
      // request that is reported as `not run` must not have been executed.
      assert.equal(error?.execution === 'not run' && executedPrompts.has(`large ${index}`), false);
    });
    assert.ok(refused.some(({ error }) => error?.execution === 'not run'));
    assert.ok(this.overloadSmall.every(({ ended }) => ended));
    assert.ok(this.overloadMaxUnits <= 8, `${this.overloadMaxUnits}`);
  },
);

After(async function close(this: Partial<OverloadWorld>) {
  await this.overloadFleet?.close();
});
