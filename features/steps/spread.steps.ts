import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { VirtualFleet } from '@laburnumstream/bench';
import type { VirtualEntry } from '@laburnumstream/bench';
import { rendezvousOrder } from '@laburnumstream/common';
import { configurationKey, parseConfiguration } from '@laburnumstream/decisions';
import { createPatch } from './configuration.steps.js';

const seed = 11;
const secondMs = 1_000;
const dataCentre = 'data-centre-1';

interface SpreadWorld {
  virtual: VirtualFleet;
  faultyEntries: VirtualEntry[];
  callsBefore: number;
}

/** Creates a patch that differs from all earlier ones. */
function createNextPatch(fleet: VirtualFleet) {
  const revision = Math.max(...fleet.entries.map(({ keeper }) => keeper.configuration.revision));
  const id = `change-${revision}-${fleet.clock.now()}`;
  return createPatch('ann', { defaults: { maxQueue: revision + 100 } }, id);
}

/** Finds a running entry outside the data centre that faults are injected into. */
function findEditor({ entries }: VirtualFleet): VirtualEntry {
  return entries.find(
    ({ instance, isResponsive }) => isResponsive && instance.dataCentre !== dataCentre,
  )!;
}

function getFaultyEntries({ entries }: VirtualFleet): VirtualEntry[] {
  return entries.filter(({ instance }) => instance.dataCentre === dataCentre);
}

function getFaultyWatchers(fleet: VirtualFleet): VirtualEntry[] {
  return getFaultyEntries(fleet).filter(({ spreader }) => spreader.isWatching);
}

function readStored({ content }: VirtualFleet) {
  return parseConfiguration(content.values.get(configurationKey)?.value ?? '{}');
}

Given(
  'a virtual fleet of {int} entries and {int} agents in {int} data centres',
  async function start(this: SpreadWorld, entries: number, agents: number, dataCentres: number) {
    this.virtual = new VirtualFleet({ seed, entries, agents, dataCentres });
    await this.virtual.advance(3 * secondMs);
    await this.virtual.applyChange(createNextPatch(this.virtual), this.virtual.entries[0]!);
    await this.virtual.advance(5 * secondMs);
    this.faultyEntries = [];
  },
);

function assertWatchers({ entries }: VirtualFleet, count: number): void {
  const watching = entries.filter(
    ({ isResponsive, spreader }) => isResponsive && spreader.isWatching,
  );
  assert.equal(watching.length, count);
}

Then('{int} entries watch the store', function check(this: SpreadWorld, count: number) {
  assertWatchers(this.virtual, count);
});

Then(
  '{int} entries watch the store after {int} seconds',
  async function check(this: SpreadWorld, count: number, seconds: number) {
    await this.virtual.advance(seconds * secondMs);
    assertWatchers(this.virtual, count);
  },
);

Then(
  'a change is in force everywhere within {int} second(s)',
  async function check(this: SpreadWorld, seconds: number) {
    const { virtual } = this;
    const revision = await virtual.applyChange(createNextPatch(virtual), findEditor(virtual));
    await virtual.advance(seconds * secondMs);
    const behind = virtual.entries.filter(
      ({ isResponsive, keeper }) => isResponsive && keeper.configuration.revision < revision,
    );
    assert.deepEqual(
      behind.map(({ instance }) => instance.name),
      [],
    );
  },
);

When('the watchers of a data centre are killed', function kill(this: SpreadWorld) {
  getFaultyWatchers(this.virtual).forEach((entry) => entry.kill());
});

When('the watchers of a data centre freeze', function freeze(this: SpreadWorld) {
  this.faultyEntries = getFaultyWatchers(this.virtual);
  this.faultyEntries.forEach(({ clock }) => clock.freeze());
});

Then(
  'the frozen entries take it within {int} seconds after they wake',
  async function check(this: SpreadWorld, seconds: number) {
    const { revision } = readStored(this.virtual);
    this.faultyEntries.forEach(({ clock }) => clock.thaw());
    await this.virtual.advance(seconds * secondMs);
    this.faultyEntries.forEach(({ keeper }) =>
      assert.equal(keeper.configuration.revision, revision),
    );
  },
);

/** Makes the store unreachable for entries, or reachable again. */
function setStoreDown(entries: readonly VirtualEntry[], isDown = true): void {
  entries.forEach(({ store }) => Object.assign(store, { isDown }));
}

When('the watchers of a data centre lose the store', function lose(this: SpreadWorld) {
  setStoreDown(getFaultyWatchers(this.virtual));
});

When('all entries of a data centre lose the store', function lose(this: SpreadWorld) {
  setStoreDown(getFaultyEntries(this.virtual));
});

When(
  "the first {int} entries of a data centre's order are killed",
  function kill(this: SpreadWorld, count: number) {
    const nameOf = ({ instance }: VirtualEntry): string => instance.name;
    const order = rendezvousOrder(`watch/${dataCentre}`, getFaultyEntries(this.virtual), nameOf);
    order.slice(0, count).forEach((entry) => entry.kill());
  },
);

When('all data centres are cut off from each other', function cut(this: SpreadWorld) {
  const pairs = ['0 1', '0 2', '1 2'].map((pair) => pair.split(' '));
  pairs.forEach(([a, b]) => this.virtual.partitions.add(`data-centre-${a} data-centre-${b}`));
});

When('the store is down and an entry restarts', async function restart(this: SpreadWorld) {
  setStoreDown(this.virtual.entries);
  await this.virtual.advance(10 * secondMs);
  const started = this.virtual.restart(this.virtual.entries[7]!);
  setStoreDown([started]);
  this.faultyEntries = [started];
});

Then(
  'it has the newest revision within {int} second',
  async function check(this: SpreadWorld, seconds: number) {
    await this.virtual.advance(seconds * secondMs);
    const { revision } = readStored(this.virtual);
    assert.equal(this.faultyEntries[0]!.keeper.configuration.revision, revision);
  },
);

When('the store goes back by {int} revisions', async function back(this: SpreadWorld, n: number) {
  const { virtual } = this;
  const older = virtual.content.snapshot();
  for (let index = 0; index < n; index += 1) {
    await virtual.applyChange(createNextPatch(virtual), findEditor(virtual));
    await virtual.advance(2 * secondMs);
  }
  virtual.content.restore(older);
});

Then(
  'no process goes back and the store has the newest revision within {int} seconds',
  async function check(this: SpreadWorld, seconds: number) {
    await this.virtual.advance(seconds * secondMs);
    const { revision } = readStored(this.virtual);
    assert.equal(revision, 3);
    this.virtual.entries.forEach(({ keeper }) =>
      assert.equal(keeper.configuration.revision, revision),
    );
  },
);

When('all entries restart at once', async function restart(this: SpreadWorld) {
  const { virtual } = this;
  this.callsBefore = virtual.content.calls;
  [...virtual.entries].forEach((entry) => virtual.restart(entry));
  await virtual.advance(10 * secondMs);
});

Then(
  'the store gets at most {int} calls in 10 seconds and all entries have the newest revision',
  function check(this: SpreadWorld, most: number) {
    const calls = this.virtual.content.calls - this.callsBefore;
    assert.ok(calls <= most, `${calls} calls`);
    const { revision } = readStored(this.virtual);
    this.virtual.entries.forEach(({ keeper }) =>
      assert.equal(keeper.configuration.revision, revision),
    );
  },
);

When('the store is down for {int} seconds', async function down(this: SpreadWorld, n: number) {
  setStoreDown(this.virtual.entries);
  await this.virtual.advance(n * secondMs);
});

Then(
  'at most {int} entries watch it and all have the newest revision {int} seconds after it is back',
  async function check(this: SpreadWorld, most: number, seconds: number) {
    const { virtual } = this;
    const watching = virtual.entries.filter(({ spreader }) => spreader.isWatching);
    assert.ok(watching.length <= most, `${watching.length} watch`);
    setStoreDown(virtual.entries, false);
    const revision = await virtual.applyChange(createNextPatch(virtual), findEditor(virtual));
    await virtual.advance(seconds * secondMs);
    virtual.entries.forEach(({ keeper }) => assert.equal(keeper.configuration.revision, revision));
    assertWatchers(virtual, 6);
  },
);
