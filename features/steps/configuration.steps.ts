import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { Failure } from '@laburnumstream/common';
import {
  checkPermission,
  configurationKey,
  computeEffects,
  maxDocumentBytes,
  parseConfiguration,
} from '@laburnumstream/decisions';
import type { Change, PolicyEffect } from '@laburnumstream/decisions';
import { addException, applyChange } from '@laburnumstream/entry';
import { CallFault } from '@laburnumstream/standins';
import { recordOutcome } from '../support/changeOutcomes.js';
import type { ChangeOutcome } from '../support/changeOutcomes.js';
import { EditingFleet } from '../support/editingFleet.js';

const seed = 7;
const plainService = { kind: 'plain' };
const tokenHash = 'a'.repeat(64);
const secondMs = 1_000;

/** State shared by the scenarios of configuration changes. */
export interface ConfigurationWorld {
  editing: EditingFleet;
  change: Change;
  changeOutcomes: ChangeOutcome[];
  changeFailure: Failure;
  changeMs: number;
  effects: PolicyEffect[];
}

/** Creates a change that merges `parts` into the document. */
export function createPatch(author: string, parts: object, changeId = `${author}-change`): Change {
  const by = { author, reason: 'test', at: 1 };
  return { ...applyChange(by, parts as Record<string, unknown>), changeId };
}

async function expectFailure(promise: Promise<unknown>): Promise<Failure> {
  const failure = await promise.then(
    () => undefined,
    (error: unknown) => error,
  );
  assert.ok(failure instanceof Failure, 'The change was accepted.');
  return failure;
}

Given('two configuration editors', async function start(this: ConfigurationWorld) {
  this.editing = new EditingFleet(seed);
  const operators = { ann: { role: 'operator', tokenHashes: [tokenHash] } };
  const services = { desk: plainService };
  await this.editing.apply(createPatch('ann', { operators, services }, 'first'));
});

function applyConcurrently(
  editing: EditingFleet,
  patches: readonly [object, object],
): Promise<ChangeOutcome[]> {
  const changes = [
    recordOutcome('a', editing.start(createPatch('ann', patches[0], 'a'), 0)),
    recordOutcome('b', editing.start(createPatch('ben', patches[1], 'b'), 1)),
  ];
  return editing.clock.runUntilSettled(Promise.all(changes));
}

When(
  'both change different services at the same time',
  async function go(this: ConfigurationWorld) {
    const patches = [
      { services: { one: plainService } },
      { services: { two: plainService } },
    ] as const;
    this.changeOutcomes = await applyConcurrently(this.editing, patches);
  },
);

Then('both changes are in the document', function check(this: ConfigurationWorld) {
  assert.deepEqual(Object.keys(this.editing.storedConfiguration.services).sort(), [
    'desk',
    'one',
    'two',
  ]);
  assert.ok(this.changeOutcomes.every(({ outcome }) => typeof outcome === 'number'));
});

When('both change the same service at the same time', async function go(this: ConfigurationWorld) {
  const { editing } = this;
  const change = (author: string, path: string): Change =>
    createPatch(author, { services: { desk: { nonIdempotentPaths: [path] } } });
  const starts = [editing.start(change('ann', '/a'), 0), editing.start(change('ben', '/b'), 1)];
  const ends = await editing.clock.runUntilSettled(Promise.allSettled(starts));
  const refused = ends.flatMap((end) => (end.status === 'rejected' ? [end.reason as Failure] : []));
  assert.equal(refused.length, 1);
  [this.changeFailure] = refused as [Failure];
});

Then(
  'one change is refused as {string} naming {string} and {string}',
  function check(this: ConfigurationWorld, type: string, ann: string, ben: string) {
    assert.equal(this.changeFailure.type, type);
    assert.ok(this.changeFailure.message.includes(ann) && this.changeFailure.message.includes(ben));
  },
);

/** Injects a fault into the first editor's next write of the document. */
function failFirstWrite({ editing }: ConfigurationWorld, fault: CallFault): void {
  const [store] = editing.stores;
  let left = 1;
  store!.chooseFault = (operation) => {
    if (operation !== 'put' || left === 0) return CallFault.none;
    left -= 1;
    return fault;
  };
}

async function applyAndRecord(editing: EditingFleet): Promise<ChangeOutcome[]> {
  const change = createPatch('ann', { services: { one: plainService } });
  return [await recordOutcome('ann-change', editing.apply(change))];
}

When("the answer to a change's write is lost", async function go(this: ConfigurationWorld) {
  failFirstWrite(this, CallFault.lostResponse);
  this.changeOutcomes = await applyAndRecord(this.editing);
});

When(
  "a change's write lands after its caller gave up",
  async function go(this: ConfigurationWorld) {
    failFirstWrite(this, CallFault.delayed);
    this.changeOutcomes = await applyAndRecord(this.editing);
    await this.editing.clock.runUntil(this.editing.clock.now() + 20 * secondMs);
  },
);

When(
  'the answer is lost and {int} other changes follow before it is resolved',
  async function go(this: ConfigurationWorld, others: number) {
    const { editing } = this;
    failFirstWrite(this, CallFault.lostResponse);
    const waiting = recordOutcome(
      'ann-change',
      editing.start(createPatch('ann', { services: { one: plainService } })),
    );
    await editing.clock.runUntil(editing.clock.now() + 100);
    for (let index = 0; index < others; index += 1) {
      const services = { [`other-${index}`]: plainService };
      await editing.apply(createPatch('ben', { services }, `other-${index}`), 1);
    }
    const isInline = editing.storedConfiguration.audit.some(
      ({ changeId }) => changeId === 'ann-change',
    );
    assert.equal(isInline, false);
    this.changeOutcomes = [await editing.clock.runUntilSettled(waiting)];
  },
);

Then('the change is accepted once', async function check(this: ConfigurationWorld) {
  const trail = await this.editing.readAuditTrail();
  const records = trail.filter(({ changeId }) => changeId === 'ann-change');
  assert.equal(records.length, 1);
  assert.equal(this.changeOutcomes[0]!.outcome, records[0]!.revision);
});

async function applyAndExpectFailure(editing: EditingFleet) {
  const { clock } = editing;
  const started = clock.now();
  const change = createPatch('ann', { services: { one: plainService } });
  const changeFailure = await expectFailure(editing.apply(change));
  return { change, changeFailure, changeMs: clock.now() - started };
}

When('the store is down during a change', async function go(this: ConfigurationWorld) {
  this.editing.stores[0]!.isDown = true;
  Object.assign(this, await applyAndExpectFailure(this.editing));
});

When("the store goes down after a change's write", async function go(this: ConfigurationWorld) {
  const [store] = this.editing.stores;
  store!.chooseFault = (operation) => {
    if (operation !== 'put') return CallFault.none;
    void this.editing.clock.sleep(10).then(() => {
      store!.isDown = true;
    });
    return CallFault.lostResponse;
  };
  Object.assign(this, await applyAndExpectFailure(this.editing));
});

Then(
  'the change is refused as {string} within {int} seconds',
  function check(this: ConfigurationWorld, type: string, seconds: number) {
    assert.equal(this.changeFailure.type, type);
    assert.ok(this.changeMs <= seconds * secondMs, `${this.changeMs} ms`);
  },
);

Then('sending it again gives its one revision', async function check(this: ConfigurationWorld) {
  const [store] = this.editing.stores;
  store!.isDown = false;
  store!.chooseFault = () => CallFault.none;
  const again = await this.editing.apply(this.change);
  const records = (await this.editing.readAuditTrail()).filter(
    ({ changeId }) => changeId === 'ann-change',
  );
  assert.deepEqual(
    records.map(({ revision }) => revision),
    [again.revision],
  );
});

When('a change is made for an older revision', async function go(this: ConfigurationWorld) {
  await this.editing.apply(createPatch('ben', { services: { one: plainService } }));
});

Then(
  'it is merged when other items changed and refused when the same did',
  async function check(this: ConfigurationWorld) {
    const older = { ifRevision: 1 };
    const other = createPatch('ann', { services: { two: plainService } }, 'other');
    await this.editing.apply({ ...other, ...older });
    const same = createPatch('ann', { services: { one: { nonIdempotentPaths: ['/x'] } } }, 'same');
    const failure = await expectFailure(this.editing.apply({ ...same, ...older }));
    assert.equal(failure.type, 'conflict');
    assert.match(failure.message, /ben changed services\/one in revision 2/);
  },
);

When('the patch {} is applied', async function go(this: ConfigurationWorld, patch: string) {
  const apply = async (): Promise<void> => {
    await this.editing.apply(createPatch('ann', JSON.parse(patch) as object));
  };
  this.changeFailure = await expectFailure(apply());
});

Then(
  'it is refused as {string} naming {string}',
  function check(this: ConfigurationWorld, type: string, path: string) {
    assert.equal(this.changeFailure.type, type);
    assert.ok(this.changeFailure.message.includes(path), this.changeFailure.message);
    assert.equal(this.editing.storedConfiguration.revision, 1);
  },
);

When(
  'services are added until the document is too large',
  async function go(this: ConfigurationWorld) {
    const nonIdempotentPaths = Array.from(
      { length: 40 },
      (_, index) => `/${index}${'é'.repeat(1_000)}`,
    );
    const apply = async (index: number): Promise<void> => {
      const services = { [`large-${index}`]: { ...plainService, nonIdempotentPaths } };
      await this.editing.apply(createPatch('ann', { services }, `large-${index}`));
    };
    const many = async (): Promise<void> => {
      for (let index = 0; index < 100; index += 1) await apply(index);
    };
    this.changeFailure = await expectFailure(many());
  },
);

Then(
  'the last is refused as {string} and the store holds less than a megabyte',
  function check(this: ConfigurationWorld, type: string) {
    assert.equal(this.changeFailure.type, type);
    const { value } = this.editing.content.values.get(configurationKey)!;
    assert.ok(Buffer.byteLength(value) <= maxDocumentBytes);
    assert.ok(Buffer.byteLength(value) > maxDocumentBytes / 2);
  },
);

When('an operator limited to one service changes two', async function go(this: ConfigurationWorld) {
  const limited = { role: 'operator', tokenHashes: [tokenHash], services: ['desk'] } as const;
  await this.editing.apply(createPatch('ann', { operators: { ben: limited } }, 'limit'));
  const permit: Change['authorize'] = (before, changes) =>
    checkPermission(before, before.operators.ben!, changes);
  const change = (service: string): Change => {
    const services = { [service]: { ...plainService, nonIdempotentPaths: ['/orders'] } };
    return { ...createPatch('ben', { services }, service), authorize: permit };
  };
  this.changeOutcomes = [
    await recordOutcome('desk', this.editing.apply(change('desk'))),
    await recordOutcome('other', this.editing.apply(change('other'))),
  ];
});

Then('only the change of the own service is accepted', function check(this: ConfigurationWorld) {
  assert.deepEqual(
    this.changeOutcomes.map(({ outcome }) => outcome),
    [3, 'forbidden'],
  );
});

When(
  'the store loses its last changes and another change is made',
  async function go(this: ConfigurationWorld) {
    const { editing } = this;
    const older = editing.content.snapshot();
    await editing.apply(createPatch('ann', { services: { one: plainService } }, 'one'));
    await editing.apply(createPatch('ann', { services: { two: plainService } }, 'two'));
    editing.content.restore(older);
    await editing.apply(createPatch('ann', { services: { three: plainService } }, 'three'));
  },
);

Then('no accepted change is lost', function check(this: ConfigurationWorld) {
  const { services, revision } = this.editing.storedConfiguration;
  assert.deepEqual(Object.keys(services).sort(), ['desk', 'one', 'three', 'two']);
  assert.equal(revision, 4);
});

When('an exception is tried without being applied', async function go(this: ConfigurationWorld) {
  const by = { author: 'ann', reason: 'lambing season', at: 1 };
  const fields = { id: 'queue', scope: { service: 'desk' }, policy: { maxQueue: 9 } };
  const places = [
    { instance: 'desk-1', dataCentre: 'north-a', service: 'desk' },
    { instance: 'other-1', dataCentre: 'north-a', service: 'other' },
  ];
  const { before, after } = await this.editing.preview(addException(by, fields));
  this.effects = computeEffects(before, after, places, 1);
});

Then('it tells what changes for whom and writes nothing', function check(this: ConfigurationWorld) {
  assert.deepEqual(this.effects, [
    { policy: { maxQueue: { from: 64, to: 9 } }, instances: ['desk-1'] },
  ]);
  const { value } = this.editing.content.values.get(configurationKey)!;
  assert.equal(parseConfiguration(value).revision, 1);
});
