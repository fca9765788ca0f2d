import assert from 'node:assert/strict';
import { Then } from '@cucumber/cucumber';
import { claimPortBlock, freePorts } from '@laburnumstream/bench';

const preferred = 7;
const claims = 4;

Then('a block of ports that is claimed is not claimed again', async () => {
  const claimed = await Promise.all(
    Array.from({ length: claims }, () => claimPortBlock(preferred)),
  );
  assert.equal(new Set(claimed).size, claims);
  const ports = await freePorts(claims);
  assert.equal(new Set(ports).size, claims);
});
