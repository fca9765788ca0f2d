import assert from 'node:assert/strict';
import { After, Given, Then, When } from '@cucumber/cucumber';
import fc from 'fast-check';
import { Caller, Fleet } from '@laburnumstream/bench';
import type { FleetShape, CompletionResult } from '@laburnumstream/bench';
import { AdmissionLimit, LatencyJumpDetector } from '@laburnumstream/decisions';
import { HttpModelEngine } from '@laburnumstream/clients';
import { EngineStandIn } from '@laburnumstream/standins';
import { eventually } from '../support/assertions.js';
import { AdmissionSimulation } from '../support/admissionSimulation.js';
import type { EndpointModel, AdmissionStep } from '../support/admissionSimulation.js';

const seed = 5;
const runCount = 400;
/** Start of the idle time, later than the end of any history in these tests, in milliseconds. */
const idleFromMs = 10_000_000;
const stepCount = { minLength: 20, maxLength: 120 };

interface AdmissionWorld {
  admissionLimit: AdmissionLimit;
  admissionFleet: Fleet;
  admissionEngine: EngineStandIn;
  admissionSeen: CompletionResult[];
}

const model: fc.Arbitrary<EndpointModel> = fc.record({
  coldLimit: fc.integer({ min: 1, max: 6 }),
  warmAfterUnits: fc.integer({ min: 1, max: 16 }),
  capacity: fc.integer({ min: 8, max: 64 }),
  hasReports: fc.boolean(),
});

const arrive = fc.record({
  kind: fc.constant('arrive' as const),
  units: fc.integer({ min: 1, max: 8 }),
  count: fc.integer({ min: 1, max: 40 }),
});
const advance = fc.record({
  kind: fc.constant('advance' as const),
  ms: fc.integer({ min: 10, max: 600 }),
});
const report = fc.record({
  kind: fc.constant('report' as const),
  lagMs: fc.integer({ min: 0, max: 1_500 }),
});
const restart = fc.constant({ kind: 'restart' as const });
const replace = fc.constant({ kind: 'replace' as const });

function runSimulation(
  steps: readonly AdmissionStep[],
  bounds: EndpointModel,
): AdmissionSimulation {
  const history = new AdmissionSimulation(bounds);
  history.apply({ kind: 'report', lagMs: 0 });
  steps.forEach((step) => history.apply(step));
  return history;
}

function createHistories(broken: fc.Arbitrary<AdmissionStep>): fc.Arbitrary<AdmissionStep[]> {
  const step = fc.oneof(
    { weight: 8, arbitrary: arrive },
    { weight: 6, arbitrary: advance },
    { weight: 4, arbitrary: report },
    { weight: 1, arbitrary: broken },
  );
  return fc.array<AdmissionStep>(step, stepCount);
}

Then(
  'over seeded histories of restarts with broken connections no cold endpoint gets too much',
  () => {
    let finished = 0;
    const property = fc.property(createHistories(restart), model, (steps, bounds) => {
      const history = runSimulation(steps, bounds);
      finished += history.finishedRequests;
      assert.ok(history.maxWhileCold <= bounds.coldLimit, `${history.maxWhileCold}`);
    });
    fc.assert(property, { seed, numRuns: runCount });
    assert.ok(finished > runCount, `Only ${finished} requests ended.`);
  },
);

Then(
  'over seeded histories of silent replacements the work under way stays within the limit',
  () => {
    const property = fc.property(createHistories(replace), model, (steps, bounds) => {
      const history = runSimulation(steps, bounds);
      assert.ok(history.maxUnnoticedExcess <= 0, `${history.maxUnnoticedExcess}`);
    });
    fc.assert(property, { seed, numRuns: runCount });
  },
);

When(
  '{int} units succeed at an endpoint that bears {int} and {int} while cold',
  function succeed(this: AdmissionWorld, units: number, maxLimit: number, coldLimit: number) {
    const bounds = { coldLimit, capacity: maxLimit, warmAfterUnits: 10, hasReports: true };
    const history = new AdmissionSimulation(bounds);
    for (let index = 0; index < units; index += 1)
      history.apply({ kind: 'arrive', units: 1, count: 1 });
    while (history.finishedRequests < units) {
      history.apply({ kind: 'report', lagMs: 500 });
      history.apply({ kind: 'advance', ms: 100 });
    }
    this.admissionLimit = history.admission;
  },
);

When(
  'the endpoint is idle for {int} seconds',
  function idle(this: AdmissionWorld, seconds: number) {
    this.admissionLimit.start(1, idleFromMs + seconds * 1_000);
  },
);

Then('its admission limit is {int}', function check(this: AdmissionWorld, limit: number) {
  assert.equal(this.admissionLimit.limit, limit);
});

Then('a burst after an unnoticed restart brings no more than the cold limit', () => {
  const bounds = { coldLimit: 2, capacity: 64, warmAfterUnits: 10, hasReports: true };
  const warm: AdmissionStep[] = Array.from({ length: 60 }, () => [
    { kind: 'report' as const, lagMs: 0 },
    { kind: 'arrive' as const, units: 1, count: 40 },
    { kind: 'advance' as const, ms: 200 },
  ]).flat();
  const history = runSimulation([...warm, { kind: 'advance', ms: 10_000 }], bounds);
  history.apply({ kind: 'arrive', units: 1, count: 1 });
  assert.equal(history.maxOnBoot, 64);
  for (let index = 0; index < 40; index += 1) {
    history.apply({ kind: 'arrive', units: 1, count: 40 });
    history.apply({ kind: 'advance', ms: 200 });
  }
  history.apply({ kind: 'advance', ms: 1_000 });
  history.apply({ kind: 'replace' });
  history.apply({ kind: 'arrive', units: 1, count: 40 });
  assert.equal(history.maxOnBoot, 2);
});

Then('a lasting jump of first-token latency is a cold sign and a short one is not', () => {
  const jump = new LatencyJumpDetector();
  const observe = (ms: number, times: number) =>
    Array.from({ length: times }, () => jump.observe(ms)).some(Boolean);
  assert.equal(observe(20, 40), false);
  assert.equal(observe(500, 3), false);
  assert.equal(observe(20, 5), false);
  assert.equal(observe(500, 10), true);
});

Then('a report of the time before a restart does not raise the limit', () => {
  const admission = new AdmissionLimit({ coldLimit: 2, maxLimit: 64 });
  admission.applyReport(64, 0);
  admission.turnCold(1_000);
  admission.applyReport(64, 1_500);
  for (let done = 0; done < 100; done += 1) {
    admission.finish(admission.start(2, 1_600), true, 1_600);
  }
  assert.equal(admission.limit, 2);
});

Then('a connection that an idle engine closes is noticed', async () => {
  const standIn = await new EngineStandIn().start();
  let losses = 0;
  const engine = new HttpModelEngine(standIn.address, 1_000, () => {
    losses += 1;
  });
  await engine.getLoadReport();
  assert.equal(losses, 0);
  standIn.closeConnections();
  await eventually(() => losses > 0, 'the loss is noticed');
  await standIn.stop();
});

const shape: FleetShape = {
  dataCentres: [{ name: 'north-a', region: 'north', entries: 2 }],
  services: [{ name: 'assistant', kind: 'engine', endpoints: [1] }],
  originRegion: 'north',
};

/** Keeps `count` requests in flight, spread over all entries, until `isDone` returns true. */
async function keepBusy(
  fleet: Fleet,
  count: number,
  isDone: () => boolean,
): Promise<CompletionResult[]> {
  const callers = fleet.entries.map((entry) => new Caller(entry.callerUrl));
  const seen: CompletionResult[] = [];
  const loop = async (index: number) => {
    const caller = callers[index % callers.length]!;
    for (let turn = 0; !isDone(); turn += 1) {
      seen.push(await caller.complete('assistant', `p${index} ${turn}`, { maxTokens: 8 }));
    }
  };
  await Promise.all(Array.from({ length: count }, (_, index) => loop(index)));
  await Promise.all(callers.map((caller) => caller.close()));
  return seen;
}

Given(
  'a busy fleet whose engine bears {int} units while cold and restarts',
  async function run(this: AdmissionWorld, coldCapacity: number) {
    const behaviour = { capacity: 32, prefillMs: 20, tokenMs: 10, warmAfter: 30 };
    const engine = { ...behaviour, coldCapacity, reportLagMs: 1_500 };
    this.admissionFleet = await Fleet.start(shape, { engine, logLevel: 'warn' });
    this.admissionEngine = this.admissionFleet.agents[0]!.engine!;
    const { admissionFleet: fleet, admissionEngine } = this;
    let isDone = false;
    const load = keepBusy(fleet, 40, () => isDone);
    await fleet.waitUntil(() => admissionEngine.running > coldCapacity * 2, 'the limit has grown');
    admissionEngine.restart();
    await fleet.waitUntil(
      () => admissionEngine.running > coldCapacity * 2,
      'the limit grows again',
    );
    isDone = true;
    this.admissionSeen = await load;
  },
);

Then(
  'the engine never got more than it bears while cold and no answer was cut silently',
  function check(this: AdmissionWorld) {
    const { maxUnitsWhileCold, crashes, behaviour } = this.admissionEngine;
    assert.ok(maxUnitsWhileCold > 0);
    assert.ok(maxUnitsWhileCold <= behaviour.coldCapacity, `${maxUnitsWhileCold}`);
    assert.equal(crashes, 0);
    const isTyped = ({ ended, error }: CompletionResult) =>
      ended || typeof error?.type === 'string';
    assert.ok(this.admissionSeen.every(isTyped));
  },
);

After(async function close(this: Partial<AdmissionWorld>) {
  await this.admissionFleet?.close();
});
