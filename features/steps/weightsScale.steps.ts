import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { VirtualScheme, VirtualTransfer } from '@laburnumstream/bench';
import type { VirtualOutcome, VirtualScenario } from '@laburnumstream/bench';

interface WeightsScaleWorld {
  weightScenario: Omit<VirtualScenario, 'scheme'>;
  weightOutcome: VirtualOutcome;
}

Given(
  'a weight transfer to {int} instances in virtual time with seed {int}',
  function prepare(this: WeightsScaleWorld, instances: number, seed: number) {
    const links = { originCopies: 4, instanceCopies: 2, regionCopies: 2 };
    const shape = { instances, regions: 2, dataCentres: 6, chunks: 256 };
    this.weightScenario = { seed, ...shape, failingShare: 0.05, corruptShare: 0.001, ...links };
  },
);

When('it runs by the scheme trees', function run(this: WeightsScaleWorld) {
  const scheme = VirtualScheme.trees;
  this.weightOutcome = new VirtualTransfer({ ...this.weightScenario, scheme }).run();
});

Then('every surviving instance is whole', function check(this: WeightsScaleWorld) {
  assert.equal(this.weightOutcome.incomplete, 0);
  assert.ok(
    this.weightOutcome.corruptChunks > 0,
    'No chunk was corrupt, so the run shows nothing.',
  );
  assert.ok(this.weightOutcome.failedMembers > 0, 'No member failed, so the run shows nothing.');
});

Then(
  'the origin sent at most {float} copies and each remote region took at most {float}',
  function check(this: WeightsScaleWorld, maxOriginCopies: number, maxRemoteCopies: number) {
    const { originCopies, remoteCopies } = this.weightOutcome;
    assert.ok(originCopies <= maxOriginCopies, `The origin sent ${originCopies} copies.`);
    assert.ok(remoteCopies <= maxRemoteCopies, `A remote region received ${remoteCopies} copies.`);
  },
);

Then(
  'its time is at most {float} of the lower bound',
  function check(this: WeightsScaleWorld, maxRatio: number) {
    const { timeOverBound } = this.weightOutcome;
    assert.ok(timeOverBound <= maxRatio, `It took ${timeOverBound} times the lower bound.`);
  },
);

Then('trees take less time than each other scheme', function check(this: WeightsScaleWorld) {
  const computeTimeOverBound = (scheme: VirtualScheme) =>
    new VirtualTransfer({ ...this.weightScenario, scheme }).run().timeOverBound;
  const treesTime = computeTimeOverBound(VirtualScheme.trees);
  Object.values(VirtualScheme)
    .filter((scheme) => scheme !== VirtualScheme.trees)
    .forEach((scheme) =>
      assert.ok(treesTime < computeTimeOverBound(scheme), `${scheme} takes no longer than trees.`),
    );
});

Then('two runs have the same outcome', function check(this: WeightsScaleWorld) {
  const run = () =>
    new VirtualTransfer({ ...this.weightScenario, scheme: VirtualScheme.trees }).run();
  assert.deepEqual(run(), run());
});
