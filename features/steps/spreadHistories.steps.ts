import assert from 'node:assert/strict';
import { Then, When } from '@cucumber/cucumber';
import fc from 'fast-check';
import { VirtualFleet, countReverts } from '@laburnumstream/bench';
import { CallFault } from '@laburnumstream/standins';
import { recordOutcome } from '../support/changeOutcomes.js';
import type { ChangeOutcome } from '../support/changeOutcomes.js';
import { findSpreadFaults } from '../support/spreadFaults.js';
import { createPatch } from './configuration.steps.js';

const seed = 20_262;
const shape = { entries: 24, agents: 12, dataCentres: 3 };
const recoveryMs = 20_000;
const maxPauseMs = 1_500;
const maxFaultMs = 12_000;

/** Faults that a step can inject; each ends by itself after some time. */
const faults = {
  none: () => undefined,
  restart: (fleet: VirtualFleet, index: number) => {
    fleet.restart(fleet.entries[index]!);
  },
  freeze: (fleet: VirtualFleet, index: number, ms: number) => {
    const { clock } = fleet.entries[index]!;
    clock.freeze();
    fleet.clock.schedule(fleet.clock.now() + ms, () => clock.thaw());
  },
  outage: (fleet: VirtualFleet, _index: number, ms: number) => {
    const stores = fleet.entries.map(({ store }) => store);
    stores.forEach((store) => Object.assign(store, { isDown: true }));
    const heal = (): void => stores.forEach((store) => Object.assign(store, { isDown: false }));
    fleet.clock.schedule(fleet.clock.now() + ms, heal);
  },
  cut: (fleet: VirtualFleet, index: number, ms: number) => {
    const pair = `data-centre-${index % 3} data-centre-${(index + 1) % 3}`;
    fleet.partitions.add(pair);
    fleet.clock.schedule(fleet.clock.now() + ms, () => fleet.partitions.delete(pair));
  },
  lostAnswer: (fleet: VirtualFleet, index: number, ms: number) => {
    const { store } = fleet.entries[index]!;
    store.chooseFault = (operation) =>
      operation === 'put' ? CallFault.lostResponse : CallFault.none;
    fleet.clock.schedule(fleet.clock.now() + ms, () => {
      store.chooseFault = () => CallFault.none;
    });
  },
} as const;

const step = fc.record({
  fault: fc.constantFrom(...(Object.keys(faults) as (keyof typeof faults)[])),
  faulty: fc.nat(shape.entries - 1),
  faultMs: fc.integer({ min: 1_000, max: maxFaultMs }),
  editor: fc.nat(shape.entries - 1),
  item: fc.nat(3),
  pauseMs: fc.nat(maxPauseMs),
});
const history = fc.record({
  seed: fc.nat(),
  steps: fc.array(step, { minLength: 15, maxLength: 30 }),
});

interface SpreadHistoriesWorld {
  spreadFaults: string[];
  acceptedChanges: number;
  reverts: number;
}

function startChange(
  fleet: VirtualFleet,
  editor: number,
  item: number,
  changeId: string,
): Promise<ChangeOutcome> {
  const services = { [`item-${item}`]: { kind: 'plain', nonIdempotentPaths: [`/${changeId}`] } };
  const entry = fleet.entries[editor]!;
  const change = createPatch(`author-${editor}`, { services }, changeId);
  const applied = entry.editor.apply(change, new AbortController().signal);
  // The author of a change gets no response from a process that was killed.
  return recordOutcome(changeId, applied).then((outcome) =>
    entry.isAlive ? outcome : { changeId, outcome: 'acceptance_unknown' },
  );
}

async function runHistory(
  { seed: fleetSeed, steps }: typeof history extends fc.Arbitrary<infer Value> ? Value : never,
  checksConditions: boolean,
): Promise<{ faults: string[]; outcomes: ChangeOutcome[] }> {
  const fleet = new VirtualFleet({ seed: fleetSeed, ...shape });
  fleet.content.checksConditions = checksConditions;
  await fleet.advance(1_000);
  const pending: Promise<ChangeOutcome>[] = [];
  for (const [index, { fault, faulty, faultMs, editor, item, pauseMs }] of steps.entries()) {
    faults[fault](fleet, faulty, faultMs);
    pending.push(startChange(fleet, editor, item, `change-${index}-a`));
    pending.push(startChange(fleet, (editor + 1) % shape.entries, item, `change-${index}-b`));
    await fleet.advance(pauseMs);
  }
  await fleet.advance(maxFaultMs);
  const outcomes = await fleet.clock.runUntilSettled(Promise.all(pending));
  await fleet.advance(recoveryMs);
  return { faults: findSpreadFaults(fleet, outcomes), outcomes };
}

async function runHistories(
  count: number,
  checksConditions: boolean,
): Promise<SpreadHistoriesWorld> {
  const world: SpreadHistoriesWorld = { spreadFaults: [], acceptedChanges: 0, reverts: 0 };
  const run = fc.asyncProperty(history, async (drawn) => {
    const { faults: found, outcomes } = await runHistory(drawn, checksConditions);
    world.spreadFaults.push(...found);
    world.acceptedChanges += outcomes.filter(({ outcome }) => typeof outcome === 'number').length;
  });
  await fc.assert(run, { seed, numRuns: count, endOnFailure: true });
  return world;
}

When(
  '{int} seeded spread histories run',
  async function run(this: SpreadHistoriesWorld, n: number) {
    Object.assign(this, await runHistories(n, true));
  },
);

Then(
  'the spread histories show no fault and contain accepted changes',
  function check(this: SpreadHistoriesWorld) {
    assert.deepEqual(this.spreadFaults, []);
    assert.ok(this.acceptedChanges > 0);
  },
);

When(
  '{int} seeded spread histories run on a store without compare-and-swap',
  async function run(this: SpreadHistoriesWorld, n: number) {
    Object.assign(this, await runHistories(n, false));
  },
);

Then('the spread histories show lost changes', function check(this: SpreadHistoriesWorld) {
  assert.ok(this.spreadFaults.some((fault) => fault.includes('was lost')));
});

When('a history has revisions 1 3 2', function go(this: SpreadHistoriesWorld) {
  const revisions = [1, 3, 2].map((revision, index) => ({ revision, atMs: index }));
  this.reverts = countReverts(revisions);
});

Then(
  'the spread check tells of {int} revert',
  function check(this: SpreadHistoriesWorld, n: number) {
    assert.equal(this.reverts, n);
  },
);
