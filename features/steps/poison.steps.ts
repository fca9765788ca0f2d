import assert from 'node:assert/strict';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { Caller, Fleet } from '@laburnumstream/bench';
import type { FleetShape, CompletionResult } from '@laburnumstream/bench';
import { SeededRandom } from '@laburnumstream/common';
import { EndpointLoss, VerdictStore, VerdictState } from '@laburnumstream/decisions';
import { crashingPrompt } from '@laburnumstream/standins';
import { eventually } from '../support/assertions.js';

const fourEngines: FleetShape = {
  dataCentres: [
    { name: 'north-a', region: 'north', entries: 1 },
    { name: 'south-a', region: 'south', entries: 1 },
  ],
  services: [{ name: 'assistant', kind: 'engine', endpoints: [2, 2] }],
  originRegion: 'north',
};
const retentionMs = 60_000;

interface PoisonWorld {
  poisonFleet: Fleet;
  poisonCallers: Caller[];
  poisonSeen: CompletionResult[];
  neighbours: CompletionResult[];
  poisonBooks: { fair: VerdictStore[]; hasty: VerdictStore }[];
}

Given('a fleet with four engines', async function start(this: PoisonWorld) {
  const engine = { tokenMs: 5, coldCapacity: 64 };
  this.poisonFleet = await Fleet.start(fourEngines, { engine, logLevel: 'warn' });
  this.poisonCallers = this.poisonFleet.entries.map(({ callerUrl }) => new Caller(callerUrl));
  this.poisonSeen = [];
});

After(async function close(this: Partial<PoisonWorld>) {
  await Promise.all((this.poisonCallers ?? []).map((caller) => caller.close()));
  await this.poisonFleet?.close();
});

function countCrashes({ poisonFleet }: PoisonWorld): number {
  return poisonFleet.agents.reduce((sum, { engine }) => sum + (engine?.crashes ?? 0), 0);
}

async function sendCrashing(world: PoisonWorld, entry = 0): Promise<void> {
  const seen = await world.poisonCallers[entry]!.complete('assistant', `${crashingPrompt} now`);
  world.poisonSeen.push(seen);
}

When('a request that crashes engines comes among others', async function send(this: PoisonWorld) {
  const [caller] = this.poisonCallers;
  const others = Array.from({ length: 4 }, (_, index) =>
    caller!.complete('assistant', `Neighbour ${index}`, { maxTokens: 60 }),
  );
  const runs = () => this.poisonFleet.agents.flatMap(({ engine }) => engine?.runs ?? []);
  await eventually(() => runs().length >= 2, 'neighbours run');
  await sendCrashing(this);
  this.neighbours = await Promise.all(others);
});

Then(
  'it is refused with {int} after at most {int} lost engines and the others are whole',
  function check(this: PoisonWorld, status: number, most: number) {
    const [seen] = this.poisonSeen;
    assert.equal(seen!.status, status);
    assert.equal(seen!.error?.type, 'crashing_request');
    assert.equal(seen!.error?.execution, 'unknown');
    assert.ok(countCrashes(this) <= most, `${countCrashes(this)}`);
    const whole = this.neighbours.filter(({ ended, tokens }) => ended && tokens.length === 60);
    assert.equal(whole.length, this.neighbours.length, JSON.stringify(this.neighbours));
  },
);

When(
  'a request that crashes engines is sent again through each entry',
  async function send(this: PoisonWorld) {
    for (const entry of [0, 1, 0, 1]) await sendCrashing(this, entry);
  },
);

Then(
  'the copies are refused with {int} and no more engines are lost',
  function check(this: PoisonWorld, status: number) {
    assert.ok(this.poisonSeen.every((seen) => seen.status === status));
    assert.ok(this.poisonSeen.slice(1).every(({ error }) => error?.execution === 'not run'));
    assert.ok(countCrashes(this) <= 2, `${countCrashes(this)}`);
  },
);

async function fetchConvictions(
  { poisonFleet }: PoisonWorld,
  entry: number,
): Promise<{ fingerprint: string }[]> {
  const { entries } = poisonFleet;
  const { body } = await poisonFleet.admin('GET', 'convictions', undefined, entries[entry]);
  return body as unknown as { fingerprint: string }[];
}

When(
  'an operator lifts the conviction of a request that crashes engines',
  async function lift(this: PoisonWorld) {
    await sendCrashing(this);
    await eventually(
      async () => (await fetchConvictions(this, 1)).length === 1,
      'the other entry lists it',
    );
    const [conviction] = await fetchConvictions(this, 0);
    const path = `convictions/${conviction!.fingerprint}`;
    const answer = await this.poisonFleet.admin('DELETE', path, { reason: 'engine was mended' });
    assert.equal(answer.status, 200);
  },
);

Then('no entry lists the conviction soon after', async function check(this: PoisonWorld) {
  const gone = async () =>
    (await fetchConvictions(this, 0)).length === 0 &&
    (await fetchConvictions(this, 1)).length === 0;
  await eventually(gone, 'the conviction is gone');
});

const innocentRequests = ['a', 'b', 'c'].map((fingerprint) => ({
  fingerprint,
  workspace: 'w',
  service: 's',
}));
const crashingRequest = { fingerprint: 'guilty', workspace: 'w', service: 's' };

/**
 * Simulates engine losses of requests that run concurrently with the crashing one, and of the
 * crashing one, which runs alone once it is suspect. Two books exchange verdicts at random; `hasty`
 * takes every loss as if its request had run alone.
 */
function verdictHistory(seed: number): { fair: VerdictStore[]; hasty: VerdictStore } {
  const random = new SeededRandom(seed);
  const fair = [new VerdictStore(retentionMs), new VerdictStore(retentionMs)];
  const hasty = new VerdictStore(retentionMs);
  const pick = () => fair[Math.floor(random.next() * fair.length)]!;
  const exchange = (from: VerdictStore, to: VerdictStore, now: number) => {
    if (random.next() < 0.7) to.merge(from.snapshot(now), now);
  };
  for (let now = 1; now < 20; now += 1) {
    const concurrent = innocentRequests[Math.floor(random.next() * innocentRequests.length)]!;
    pick().recordLoss(concurrent, EndpointLoss.endpoint, false, now);
    hasty.recordLoss(concurrent, EndpointLoss.endpoint, true, now);
    const judge = pick();
    const alone = judge.getState(crashingRequest.fingerprint, now) === VerdictState.suspect;
    judge.recordLoss(crashingRequest, EndpointLoss.endpoint, alone, now);
    exchange(fair[0]!, fair[1]!, now);
    exchange(fair[1]!, fair[0]!, now);
  }
  fair[1]!.merge(fair[0]!.snapshot(20), 20);
  fair[0]!.merge(fair[1]!.snapshot(20), 20);
  return { fair, hasty };
}

When(
  '{int} seeded orders of deaths and messages reach two verdict books',
  function run(this: PoisonWorld, count: number) {
    this.poisonBooks = Array.from({ length: count }, (_, seed) => verdictHistory(seed));
  },
);

Then(
  'both books agree and no request that only ran beside others is convicted',
  function check(this: PoisonWorld) {
    this.poisonBooks.forEach(({ fair }) => {
      const states = fair.map((book) => book.getState(crashingRequest.fingerprint, 20));
      assert.deepEqual(states, [VerdictState.convicted, VerdictState.convicted]);
      innocentRequests.forEach(({ fingerprint }) =>
        fair.forEach((book) =>
          assert.notEqual(book.getState(fingerprint, 20), VerdictState.convicted),
        ),
      );
    });
  },
);

Then('a book that convicts on deaths beside others is caught', function check(this: PoisonWorld) {
  const convicted = this.poisonBooks.some(({ hasty }) =>
    innocentRequests.some(
      ({ fingerprint }) => hasty.getState(fingerprint, 20) === VerdictState.convicted,
    ),
  );
  assert.ok(convicted);
});
