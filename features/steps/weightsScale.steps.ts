import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { VirtualScheme, VirtualTransfer } from '@laburnumstream/bench';
import type { VirtualOutcome, VirtualScenario } from '@laburnumstream/bench';

interface WeightsScaleWorld {
  weightWork: Omit<VirtualScenario, 'scheme'>;
  weightOutcome: VirtualOutcome;
}

Given(
  'a weight transfer to {int} instances in virtual time with seed {int}',
  function prepare(this: WeightsScaleWorld, instances: number, seed: number) {
    const links = { originCopies: 4, instanceCopies: 2, regionCopies: 2 };
    const shape = { instances, regions: 2, dataCentres: 6, chunks: 256 };
    this.weightWork = { seed, ...shape, failingShare: 0.05, corruptShare: 0.001, ...links };
  },
);

When('it runs by the scheme trees', function run(this: WeightsScaleWorld) {
  const scheme = VirtualScheme.trees;
  this.weightOutcome = new VirtualTransfer({ ...this.weightWork, scheme }).run();
});

Then('every surviving instance is whole', function check(this: WeightsScaleWorld) {
  assert.equal(this.weightOutcome.incomplete, 0);
  assert.ok(this.weightOutcome.corruptChunks > 0, 'No chunk was corrupt: the run shows nothing.');
  assert.ok(this.weightOutcome.failedMembers > 0, 'No member died: the run shows nothing.');
});

Then(
  'the origin sent at most {float} copies and each remote region took at most {float}',
  function check(this: WeightsScaleWorld, fromOrigin: number, intoRegion: number) {
    const { originCopies, remoteCopies } = this.weightOutcome;
    assert.ok(originCopies <= fromOrigin, `The origin sent ${originCopies} copies.`);
    assert.ok(remoteCopies <= intoRegion, `A remote region took ${remoteCopies} copies.`);
  },
);

Then(
  'its time is at most {float} of the lower bound',
  function check(this: WeightsScaleWorld, most: number) {
    const { timeOverBound } = this.weightOutcome;
    assert.ok(timeOverBound <= most, `It took ${timeOverBound} of the bound.`);
  },
);

Then('trees take less time than each other scheme', function check(this: WeightsScaleWorld) {
  const timeOf = (scheme: VirtualScheme) =>
    new VirtualTransfer({ ...this.weightWork, scheme }).run().timeOverBound;
  const trees = timeOf(VirtualScheme.trees);
  Object.values(VirtualScheme)
    .filter((scheme) => scheme !== VirtualScheme.trees)
    .forEach((scheme) => assert.ok(trees < timeOf(scheme), `${scheme} takes no longer.`));
});

Then('two runs have the same outcome', function check(this: WeightsScaleWorld) {
  const run = () => new VirtualTransfer({ ...this.weightWork, scheme: VirtualScheme.trees }).run();
  assert.deepEqual(run(), run());
});
