import assert from 'node:assert/strict';
import { Then, When } from '@cucumber/cucumber';
import { AuditTrail } from '@laburnumstream/entry';
import type { ConfigurationWorld } from './configuration.steps.js';
import { createPatch } from './configuration.steps.js';

const tokenHash = 'b'.repeat(64);

When('ann changes the defaults and ben a token', async function go(this: ConfigurationWorld) {
  await this.editing.apply(createPatch('ann', { defaults: { maxQueue: 9 } }, 'defaults'));
  const workspaces = { shop: { tokenHashes: [tokenHash] } };
  await this.editing.apply(createPatch('ben', { workspaces }, 'token'));
});

Then(
  'the audit trail tells both changes without hashes',
  async function check(this: ConfigurationWorld) {
    const trail = (await this.editing.readAuditTrail()).slice(-2);
    const [defaults, token] = trail;
    assert.equal(defaults!.author, 'ann');
    assert.equal(defaults!.reason, 'test');
    assert.equal(defaults!.outcome, 'accepted');
    assert.ok(defaults!.at > 0);
    assert.deepEqual(defaults!.changes, [{ path: 'defaults/maxQueue', from: 64, to: 9 }]);
    assert.deepEqual(
      token!.changes.map(({ path }) => path),
      ['workspaces/shop'],
    );
    assert.ok(!JSON.stringify(trail).includes(tokenHash));
  },
);

async function makeChanges({ editing }: ConfigurationWorld, count: number): Promise<void> {
  for (let index = 0; index < count; index += 1) {
    const change = createPatch('ann', { defaults: { maxQueue: index + 1 } }, `change-${index}`);
    await editing.apply(change);
  }
}

When('{int} changes are made', async function go(this: ConfigurationWorld, count: number) {
  await makeChanges(this, count);
});

Then(
  'the audit trail has all {int} in order and the document holds fewer than {int}',
  async function check(this: ConfigurationWorld, count: number, maxRecords: number) {
    const trail = await this.editing.readAuditTrail();
    const expected = Array.from({ length: count + 1 }, (_, index) => index + 1);
    assert.deepEqual(
      trail.map(({ revision }) => revision),
      expected,
    );
    assert.ok(this.editing.storedConfiguration.audit.length < maxRecords);
  },
);

When(
  '{int} changes are made and an older page is lost',
  async function go(this: ConfigurationWorld, count: number) {
    await makeChanges(this, count);
    this.editing.content.values.delete(this.editing.storedConfiguration.auditPage);
  },
);

Then(
  'the audit trail says that it is not complete',
  async function check(this: ConfigurationWorld) {
    const { editing } = this;
    const read = new AuditTrail(editing.stores[0]!).read(
      editing.storedConfiguration,
      { limit: 1_000 },
      new AbortController().signal,
    );
    assert.equal((await editing.clock.runUntilSettled(read)).complete, false);
  },
);
