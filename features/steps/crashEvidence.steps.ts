import assert from 'node:assert/strict';
import { Before, Given, Then, When, World } from '@cucumber/cucumber';
import { CrashEvidence, toPartTrait } from '@laburnumstream/decisions';
import fc from 'fast-check';
import { simulateCrashes } from '../support/crashSimulation.js';
import type { CrashHistory } from '../support/crashSimulation.js';
import { measureHeapBytes } from '../support/heap.js';
import { simulateRepeatedRequest } from '../support/repeatedRequestSimulation.js';
import type { RepeatedRequestHistory } from '../support/repeatedRequestSimulation.js';

interface EvidenceWorld extends World {
  evidence: CrashEvidence;
  now: number;
  endpoints: number;
  /** Heap in use before the evidence was filled. */
  bytesBefore: number;
}

const propertySeed = 23;
const settledMs = 3_000;
const bytesPerMegabyte = 1_000_000;

Before(function setUp(this: EvidenceWorld) {
  this.evidence = new CrashEvidence();
  this.now = 1_000;
  this.endpoints = 0;
});

function split(list: string): string[] {
  const names = list.split(/, and | and |, /).filter((name) => name !== 'a part of their own');
  return names.map(toPartTrait);
}

/** Ends endpoints under requests with some traits and one of their own, then lets the crashes settle. */
function crash(
  world: EvidenceWorld,
  count: number,
  gapMs: number,
  traits: readonly string[],
  lastSignOfLife = -Infinity,
): void {
  const { evidence } = world;
  for (let index = 0; index < count; index += 1) {
    Object.assign(world, { now: world.now + gapMs, endpoints: world.endpoints + 1 });
    const own = `own-${world.endpoints}`;
    evidence.recordCrash(`e${world.endpoints}@1`, world.now, [...traits, own]);
  }
  Object.assign(world, { now: world.now + settledMs });
  evidence.settle(world.now, () => lastSignOfLife);
}

Given(
  /^(\d+) requests with part (\w+) (?:were|are) completed$/,
  function completed(this: EvidenceWorld, count: string, part: string) {
    for (let index = 0; index < Number(count); index += 1)
      this.evidence.recordSurvival(new Set([toPartTrait(part)]), this.now);
    this.evidence.settle(this.now, () => -Infinity);
  },
);

Given('nothing was completed', function nothing(this: EvidenceWorld) {
  this.evidence = new CrashEvidence();
});

When(
  /^endpoints crash (\d+) times (\d+) ms apart under (.+ a part of their own)$/,
  function crashes(this: EvidenceWorld, count: string, gapMs: string, traits: string) {
    crash(this, Number(count), Number(gapMs), split(traits));
  },
);

When(
  /^endpoints crash (\d+) times (\d+) ms apart under (\w+) and respond again$/,
  function respond(this: EvidenceWorld, count: string, gapMs: string, trait: string) {
    crash(this, Number(count), Number(gapMs), split(trait), Infinity);
  },
);

When(
  /^another entry quarantines (\w+) after (\d+) crashes$/,
  function quarantines(this: EvidenceWorld, trait: string, crashes: string) {
    this.evidence.accept({ traits: split(trait), crashes: Number(crashes) });
  },
);

When(
  /^the quarantine of (\w+) after (\d+) crashes is released$/,
  function release(this: EvidenceWorld, trait: string, crashes: string) {
    this.evidence.release({ traits: split(trait), crashes: Number(crashes) });
  },
);

Then(/^requests with (.+) are refused$/, function refused(this: EvidenceWorld, traits: string) {
  assert.ok(this.evidence.quarantines.find(new Set(split(traits))));
});

Then(
  /^requests with (.+) are not refused$/,
  function notRefused(this: EvidenceWorld, traits: string) {
    assert.equal(this.evidence.quarantines.find(new Set(split(traits))), undefined);
  },
);

When(
  /^(\d+) requests with new parts are completed and (\d+) endpoints crash under (\d+) new parts each$/,
  { timeout: 60_000 },
  function many(this: EvidenceWorld, requests: string, endpoints: string, parts: string) {
    this.bytesBefore = measureHeapBytes();
    for (let index = 0; index < Number(requests); index += 1)
      this.evidence.recordSurvival(new Set([`part:${index}`]), this.now);
    for (let index = 0; index < Number(endpoints); index += 1) {
      this.now += 100;
      const traits = Array.from({ length: Number(parts) }, (_, part) => `part:${index}-${part}`);
      this.evidence.recordCrash(`other${index}@1`, this.now, traits);
    }
  },
);

Then(
  /^at most (\d+) crashes and (\d+) quarantines are remembered, in at most (\d+) MB of their own$/,
  function remembered(this: EvidenceWorld, crashes: string, quarantines: string, most: string) {
    assert.ok(this.evidence.crashCount <= Number(crashes), `${this.evidence.crashCount} crashes`);
    for (let index = 0; index < 2 * Number(quarantines); index += 1)
      this.evidence.accept({ traits: [`part:bad-${index}`], crashes: 3 });
    assert.ok(this.evidence.quarantines.size <= Number(quarantines));
    const megabytes = (measureHeapBytes() - this.bytesBefore) / bytesPerMegabyte;
    const seen = `${megabytes.toFixed(1)} MB`;
    this.log(seen);
    assert.ok(megabytes <= Number(most), seen);
  },
);

Then('a part that crashes endpoints is still found', function found(this: EvidenceWorld) {
  crash(this, 4, 200, split('bad'));
  assert.ok(this.evidence.quarantines.find(new Set(split('bad'))));
});

const timeMs = fc.integer({ min: 3_000, max: 25_000 });

function createHistories(
  minEntries: number,
  minEndpoints: number,
  maxEndsAtOnce: number,
): fc.Arbitrary<CrashHistory> {
  const ends = fc.record({ atMs: timeMs, count: fc.integer({ min: 1, max: maxEndsAtOnce }) });
  return fc.record({
    seed: fc.nat(),
    entries: fc.integer({ min: minEntries, max: 9 }),
    endpoints: fc.integer({ min: minEndpoints, max: 12 }),
    updateDelayMs: fc.constantFrom(20, 400, 1_000),
    badPerSecond: fc.constantFrom(1, 3, 8),
    otherEnds: fc.array(ends, { maxLength: 5 }),
    restarts: fc.array(fc.record({ atMs: timeMs, entry: fc.nat({ max: 8 }) }), { maxLength: 4 }),
  });
}

const histories = createHistories(3, 6, 3);
/** Histories in which all endpoints may end at once, of fleets of any size. */
const outageHistories = createHistories(1, 3, 12);

Then(
  /^in (\d+) histories( with outages)? at most (\d+) bad requests are sent late and at most ([\d.]+) of the sound ones are refused$/,
  { timeout: 120_000 },
  (numRuns: string, hasOutages: string | null, mostLate: string, mostRefused: string) => {
    const generated = hasOutages ? outageHistories : histories;
    const property = fc.property(generated, (history) => {
      const { lateBad, soundRefused, soundSent, crashes } = simulateCrashes(history);
      const seen = `${lateBad} late, ${soundRefused} of ${soundSent} refused, ${crashes} crashes`;
      assert.ok(lateBad <= Number(mostLate), seen);
      assert.ok(soundRefused <= soundSent * Number(mostRefused), seen);
    });
    fc.assert(property, { seed: propertySeed, numRuns: Number(numRuns) });
  },
);

/** Histories of a small service, one of whose requests is repeated. */
function createRepeatedHistories(isCrashing: boolean): fc.Arbitrary<RepeatedRequestHistory> {
  const ends = fc.record({ atMs: timeMs, count: fc.integer({ min: 1, max: 4 }) });
  return fc.record({
    seed: fc.nat(),
    entries: fc.integer({ min: 1, max: 9 }),
    endpoints: fc.integer({ min: 2, max: 4 }),
    updateDelayMs: fc.constantFrom(20, 400),
    restartMs: fc.constantFrom(1_300, 3_300),
    completedBefore: fc.constantFrom(0, 12, 60),
    isCrashing: fc.constant(isCrashing),
    intervalMs: fc.constantFrom(200, 700, 2_600),
    copies: fc.constantFrom(1, 2),
    runMs: fc.constantFrom(20, 60, 400),
    othersPerSecond: fc.constantFrom(0, 5, 20),
    otherEnds: isCrashing ? fc.constant([]) : fc.array(ends, { maxLength: 8 }),
    restarts: fc.array(fc.record({ atMs: timeMs, entry: fc.nat({ max: 8 }) }), { maxLength: 3 }),
  });
}

Then(
  /^in (\d+) histories of one request that crashes endpoints at most (\d+) copies are sent late$/,
  { timeout: 120_000 },
  (numRuns: string, mostLate: string) => {
    const property = fc.property(createRepeatedHistories(true), (history) => {
      const { late, crashes } = simulateRepeatedRequest(history);
      assert.ok(late <= Number(mostLate), `${late} late, ${crashes} crashes`);
    });
    fc.assert(property, { seed: propertySeed, numRuns: Number(numRuns) });
  },
);

Then(
  /^in (\d+) histories of one sound request it is not refused$/,
  { timeout: 120_000 },
  (numRuns: string) => {
    const property = fc.property(createRepeatedHistories(false), (history) => {
      const { isRefused, crashes } = simulateRepeatedRequest(history);
      assert.ok(!isRefused, `refused after ${crashes} crashes`);
    });
    fc.assert(property, { seed: propertySeed, numRuns: Number(numRuns) });
  },
);
