import assert from 'node:assert/strict';
import { Then, When } from '@cucumber/cucumber';
import fc from 'fast-check';
import { CallFault } from '@laburnumstream/standins';
import { findHistoryFaults, recordOutcome } from '../support/changeOutcomes.js';
import type { ChangeOutcome } from '../support/changeOutcomes.js';
import { EditingFleet } from '../support/editingFleet.js';
import { createPatch } from './configuration.steps.js';

const seed = 20_261;
const editors = 3;
const maxPauseMs = 400;
const settleMs = 30_000;
const faults = [...Array<CallFault>(8).fill(CallFault.none), ...Object.values(CallFault)];

/** One configuration change of a history. */
interface Step {
  readonly editor: number;
  /** Concurrent changes of the same item conflict. */
  readonly item: number;
  readonly pauseMs: number;
  readonly outageMs: number;
}

interface HistoriesWorld {
  historyFaults: string[];
  outcomes: Map<string, number>;
}

const step: fc.Arbitrary<Step> = fc.record({
  editor: fc.nat(editors - 1),
  item: fc.nat(5),
  pauseMs: fc.nat(maxPauseMs),
  outageMs: fc.oneof({ weight: 9, arbitrary: fc.constant(0) }, fc.integer({ min: 1, max: 6_000 })),
});
const history = fc.record({
  seed: fc.nat(),
  steps: fc.array(step, { minLength: 20, maxLength: 60 }),
  callFaults: fc.infiniteStream(fc.constantFrom(...faults)),
});

async function runSteps(fleet: EditingFleet, steps: readonly Step[]): Promise<ChangeOutcome[]> {
  const pending: Promise<ChangeOutcome>[] = [];
  const { clock } = fleet;
  for (const [index, { editor, item, pauseMs, outageMs }] of steps.entries()) {
    const store = fleet.stores[editor]!;
    if (outageMs > 0) {
      store.isDown = true;
      clock.schedule(clock.now() + outageMs, () => {
        store.isDown = false;
      });
    }
    const changeId = `change-${index}`;
    const services = { [`item-${item}`]: { kind: 'plain', nonIdempotentPaths: [`/${index}`] } };
    pending.push(
      recordOutcome(
        changeId,
        fleet.start(createPatch(`author-${editor}`, { services }, changeId), editor),
      ),
    );
    await clock.runUntil(clock.now() + pauseMs);
  }
  const outcomes = await clock.runUntilSettled(Promise.all(pending));
  await clock.runUntil(clock.now() + settleMs);
  return outcomes;
}

async function runHistories(count: number, checksConditions: boolean): Promise<HistoriesWorld> {
  const world: HistoriesWorld = { historyFaults: [], outcomes: new Map() };
  const run = fc.asyncProperty(history, async ({ seed: fleetSeed, steps, callFaults }) => {
    const fleet = new EditingFleet(fleetSeed, editors);
    fleet.content.checksConditions = checksConditions;
    for (const store of fleet.stores)
      store.chooseFault = () => callFaults.next().value as CallFault;
    const outcomes = await runSteps(fleet, steps);
    world.historyFaults.push(...findHistoryFaults(outcomes, await fleet.readAuditTrail()));
    outcomes.forEach(({ outcome }) => {
      const kind = typeof outcome === 'number' ? 'accepted' : outcome;
      world.outcomes.set(kind, (world.outcomes.get(kind) ?? 0) + 1);
    });
  });
  await fc.assert(run, { seed, numRuns: count, endOnFailure: true });
  return world;
}

When(
  '{int} seeded histories of concurrent changes run',
  async function run(this: HistoriesWorld, count: number) {
    Object.assign(this, await runHistories(count, true));
  },
);

Then(
  'the change histories show no fault and contain accepted, refused and unknown changes',
  function check(this: HistoriesWorld) {
    assert.deepEqual(this.historyFaults, []);
    const kinds = ['accepted', 'conflict', 'not_accepted', 'acceptance_unknown'];
    kinds.forEach((kind) => {
      assert.ok((this.outcomes.get(kind) ?? 0) > 0, `${kind}: ${[...this.outcomes].join(' ')}`);
    });
  },
);

When(
  '{int} seeded histories run on a store without compare-and-swap',
  async function run(this: HistoriesWorld, count: number) {
    Object.assign(this, await runHistories(count, false));
  },
);

Then('the change histories show lost changes', function check(this: HistoriesWorld) {
  assert.ok(this.historyFaults.some((fault) => fault.endsWith('was lost')));
});
