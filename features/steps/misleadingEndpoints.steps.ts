import assert from 'node:assert/strict';
import { Then, When } from '@cucumber/cucumber';
import { SeededRandom } from '@laburnumstream/common';
import { AttemptOutcome, EndpointHealth } from '@laburnumstream/decisions';
import { LargeFleet, anyEndpoint, createEndpoint, testService } from '../support/largeFleet.js';

interface MisleadingWorld {
  health: EndpointHealth;
  pauses: number[];
  grown: LargeFleet;
  /** Whether the endpoint was eligible immediately after each restart. */
  usable: boolean[];
}

const recoveryMs = 11_000;
const stepMs = 10;

/** Returns the time from `now` until an ejected endpoint is probed, in milliseconds. */
function measurePause(health: EndpointHealth, now: number): number {
  let at = now;
  while (!health.isAvailable(0, at)) at += stepMs;
  return at - now;
}

When(
  'an endpoint that reports that it answers errs on 5 requests in a row',
  function err(this: MisleadingWorld) {
    this.health = new EndpointHealth();
    for (let request = 0; request < 5; request += 1) {
      assert.ok(this.health.isAvailable(0, 1_000 + request));
      this.health.recordAttempt(AttemptOutcome.serverError, 1_000 + request);
    }
  },
);

Then('it is left alone and then tried by one request', function alone(this: MisleadingWorld) {
  assert.ok(!this.health.isAvailable(0, 1_100));
  assert.ok(this.health.isAvailable(0, 1_300));
  assert.ok(!this.health.isAvailable(1, 1_300));
});

Then('one answer brings it back', function back(this: MisleadingWorld) {
  this.health.recordAttempt(AttemptOutcome.responded, 1_320);
  assert.ok(this.health.isAvailable(3, 1_320));
});

Then('over 2000 seeded requests of which 14 in 100 err an endpoint is never left alone', () => {
  const random = new SeededRandom(5);
  const health = new EndpointHealth();
  for (let request = 0; request < 2_000; request += 1) {
    const errs = random.next() < 0.14;
    health.recordAttempt(
      errs ? AttemptOutcome.serverError : AttemptOutcome.responded,
      request * stepMs,
    );
    assert.ok(health.isAvailable(3, request * stepMs), `request ${request}`);
  }
});

/** Records consecutive failures of an endpoint; returns how long it is ejected, in milliseconds. */
function recordFailures(health: EndpointHealth, times: number, now: number): number {
  for (let time = 0; time < times; time += 1) health.recordAttempt(AttemptOutcome.failed, now);
  return measurePause(health, now);
}

const countsByWord: Readonly<Record<string, number>> = { twice: 2, 'three times': 3 };

When(
  /^an endpoint fails (twice|three times) in a row and then answers, three times$/,
  function flap(this: MisleadingWorld, times: string) {
    this.health = new EndpointHealth();
    let now = 1_000;
    this.pauses = [1, 2, 3].map(() => {
      const pause = recordFailures(this.health, countsByWord[times]!, now);
      now += pause;
      this.health.recordAttempt(AttemptOutcome.responded, now);
      return pause;
    });
  },
);

Then(
  /^it is left alone for (\d+), (\d+) and (\d+) ms$/,
  function grow(this: MisleadingWorld, first: string, second: string, third: string) {
    assert.deepEqual(this.pauses, [first, second, third].map(Number));
  },
);

Then('after 11 calm seconds for 500 ms again', function calm(this: MisleadingWorld) {
  const now = 1_000 + 6_500 + recoveryMs;
  assert.equal(recordFailures(this.health, 3, now), 500);
});

/** Advances virtual time. */
function advance({ clock }: LargeFleet, ms: number): Promise<void> {
  return clock.runUntil(clock.now() + ms);
}

/** Registers an endpoint with a new start time; returns whether it is eligible for requests. */
function restart({ state, directory }: LargeFleet, index: number, startedAt: number): boolean {
  state.setEndpoint({ ...createEndpoint(index), startedAt }, 0);
  directory.refresh();
  return isUsable(directory, index);
}

function isUsable(directory: LargeFleet['directory'], index: number): boolean {
  const { id } = createEndpoint(index);
  return directory.available(testService, anyEndpoint).some((handle) => handle.id === id);
}

When(
  'an endpoint registers with a new start three times within 4 seconds',
  async function starts(this: MisleadingWorld) {
    this.grown = new LargeFleet(7, 40);
    this.usable = [];
    for (let start = 2; start <= 4; start += 1) {
      await advance(this.grown, 1_200);
      this.usable.push(restart(this.grown, 7, start));
    }
  },
);

Then(
  'it may be used at once after the first, and not for 2 seconds after the third',
  async function held(this: MisleadingWorld) {
    const { directory } = this.grown;
    assert.equal(this.usable[0], true);
    assert.equal(this.usable[2], false);
    await advance(this.grown, 2_000);
    assert.ok(!isUsable(directory, 7));
    await advance(this.grown, 3_000);
    assert.ok(isUsable(directory, 7));
  },
);

Then(
  'at once after a start that follows 11 calm seconds',
  async function calm(this: MisleadingWorld) {
    await advance(this.grown, recoveryMs);
    assert.ok(restart(this.grown, 7, 9));
  },
);

When('all of 40 endpoints register with a new start', function starts(this: MisleadingWorld) {
  this.grown = new LargeFleet(7, 40);
  this.usable = Array.from({ length: 40 }, (_, index) => restart(this.grown, index, 2));
});

Then('all of them may be used at once', function all(this: MisleadingWorld) {
  assert.ok(this.usable.every(Boolean));
});
