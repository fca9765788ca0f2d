import assert from 'node:assert/strict';
import { Then, When } from '@cucumber/cucumber';
import { HolderRun } from '@laburnumstream/bench';
import type { HolderOutcome, HolderScenario } from '@laburnumstream/bench';
import { isWorthFinishing } from '@laburnumstream/decisions';

interface HolderWorld {
  holderOutcomes: HolderOutcome[];
}

const seeds = [1, 2, 3] as const;
const secondMs = 1_000;
const noOutage = { fromMs: 0, untilMs: 0 };
const baseScenario: Omit<HolderScenario, 'seed'> = {
  regions: [7, 7, 5],
  holders: [0, 0, 0],
  chunks: 48,
  chunkBytes: 49_152,
  originRate: 15e6,
  linkRate: 6.58e6,
  regionRate: 18.2e6,
  servingShare: 0.85,
  maxUploads: 3,
  fetchWindow: 4,
  maxQueuedUploads: 0,
  failingShare: 0,
  originDown: noOutage,
};
const originLinkMs =
  ((baseScenario.chunks * baseScenario.chunkBytes * 8) / baseScenario.originRate) * secondMs;
const originOutages: Readonly<Record<string, HolderScenario['originDown']>> = {
  up: noOutage,
  'away after 1600 ms': { fromMs: 1_600, untilMs: 60_000 },
  'away for 400 to 3000': { fromMs: 400, untilMs: 3_000 },
};

When(
  /^19 empty members fetch a version and the origin is (.+)$/,
  function fetch(this: HolderWorld, name: string) {
    const originDown = originOutages[name]!;
    this.holderOutcomes = seeds.map((seed) =>
      new HolderRun({ ...baseScenario, originDown, seed }).run(),
    );
  },
);

Then(
  /^all pieces have left the origin within ([\d.]+) times their time on its link$/,
  function check(this: HolderWorld, maxFactor: string) {
    this.holderOutcomes.forEach(({ originDoneMs }) =>
      assert.ok(
        originDoneMs <= originLinkMs * Number(maxFactor),
        `${originDoneMs} ms; the origin's link needs ${originLinkMs} ms`,
      ),
    );
  },
);

Then(
  /^at most ([\d.]+) copies left it and everyone is complete within ([\d.]+) s$/,
  function complete(this: HolderWorld, maxCopies: string, seconds: string) {
    this.holderOutcomes.forEach(({ originCopies, incomplete, completeMs }) => {
      assert.equal(incomplete, 0);
      assert.ok(originCopies <= Number(maxCopies), `${originCopies} copies`);
      assert.ok(completeMs.at(-1)! <= Number(seconds) * secondMs, `${completeMs.at(-1)} ms`);
    });
  },
);

Then('a version that lacks little is finished and one that would hardly serve is given up', () => {
  const grace = { graceMs: 8_000, loadMs: 300 };
  assert.ok(isWorthFinishing({ progress: 0.9, outdatedMs: 300, ...grace }));
  assert.ok(!isWorthFinishing({ progress: 0.1, outdatedMs: 300, ...grace }));
  assert.ok(!isWorthFinishing({ progress: 0.9, outdatedMs: 6_500, ...grace }));
});
