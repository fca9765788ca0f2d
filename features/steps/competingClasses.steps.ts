import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { UnevenRegions, summarize } from '@laburnumstream/bench';
import type { ClassResult, ServedParts } from '@laburnumstream/bench';

/** Results of one seed. */
interface ClassRun {
  readonly seed: number;
  readonly adaptive: readonly ClassResult[];
  readonly before: readonly ClassResult[];
}

interface ClassWorld {
  classRate: number;
  classRuns: readonly ClassRun[];
}

const seeds = [1, 2] as const;
const seconds = 12;
const settledMs = 2_000;
/** Variation of the value by chance where there is room for all. */
const valueSlack = 0.01;

/** Parts of the requests of each class, the most urgent first, after the first seconds. */
function partsByClass(results: readonly ClassResult[]): ServedParts[] {
  const settled = results.filter(({ request }) => request.arrivesAt >= settledMs);
  return [0, 1, 2].map((priority) =>
    summarize(settled.filter(({ request }) => request.kind.priority === priority)),
  );
}

/** Checks that no class is behind a less urgent one by more than a margin. */
function checkOrder(world: ClassWorld, part: 'served' | 'inTime', margin: number): void {
  world.classRuns.forEach(({ seed, adaptive }) => {
    const [first, second, third] = partsByClass(adaptive).map((each) => each[part]);
    const gap = Math.max(second! - first!, third! - second!, third! - first!);
    assert.ok(gap <= margin, `seed ${seed}: ${first}, ${second}, ${third}`);
  });
}

Given(
  /^12 entries, 9 engines and (\d+) requests per second of the three classes of deployment A$/,
  function rate(this: ClassWorld, perSecond: string) {
    this.classRate = Number(perSecond);
  },
);

When(
  /^they are simulated with and without adaptive admission, with each of 2 seeds$/,
  async function simulate(this: ClassWorld) {
    const regions = [{ entries: 12, engines: 9, perSecond: this.classRate }];
    const runs: ClassRun[] = [];
    for (const seed of seeds) {
      const shape = { seed, seconds, regions };
      const adaptive = await new UnevenRegions({ ...shape, isAdaptive: true }).run();
      const before = await new UnevenRegions({ ...shape, isAdaptive: false }).run();
      runs.push({ seed, adaptive, before });
    }
    this.classRuns = runs;
  },
);

Then(
  /^no class is served less often than a less urgent one by more than (\d+) in 100$/,
  function ordered(this: ClassWorld, margin: string) {
    checkOrder(this, 'served', Number(margin) / 100);
  },
);

Then(
  /^no class is on time less often than a less urgent one by more than (\d+) in 100$/,
  function timely(this: ClassWorld, margin: string) {
    checkOrder(this, 'inTime', Number(margin) / 100);
  },
);

Then(/^each class is served at least a quarter as often as all$/, function floor(this: ClassWorld) {
  this.classRuns.forEach(({ seed, adaptive }) => {
    const all = summarize(adaptive).served;
    const served = partsByClass(adaptive).map((each) => each.served);
    assert.ok(Math.min(...served) >= all / 4, `seed ${seed}: ${served.join()} of ${all}`);
  });
});

Then(/^the responses are worth at least as much as without it$/, function worth(this: ClassWorld) {
  this.classRuns.forEach(({ seed, adaptive, before }) => {
    const [value, former] = [summarize(adaptive).value, summarize(before).value];
    assert.ok(value >= former - valueSlack, `seed ${seed}: ${value}, ${former} without`);
  });
});
