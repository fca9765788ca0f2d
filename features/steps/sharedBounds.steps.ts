import assert from 'node:assert/strict';
import { Then } from '@cucumber/cucumber';
import { SeededRandom } from '@laburnumstream/common';
import {
  EntryCount,
  RetryPurpose,
  SharedRateLimiter,
  SharedRetryBudget,
} from '@laburnumstream/decisions';
import fc from 'fast-check';
import { EntryFleet } from '../support/entryFleet.js';
import type { EntryFault } from '../support/entryFleet.js';
import { runWatchHistory } from '../support/watchHistory.js';
import type { WatchFault, WatchHistory, WatchObservations } from '../support/watchHistory.js';
import { platformBounds } from '../support/platformBounds.js';

const propertySeed = 11;
const historyMs = 40_000;
const stepMs = 20;
const maxEntries = 10;
/** Requests per second that a cold engine can handle. */
const coldPerSecond = 36;
/** Bound on the requests that all entries together may send to it in any second. */
const maxColdSends = coldPerSecond * platformBounds.coldFactor + platformBounds.coldSlack;

interface SharedHistory {
  readonly seed: number;
  readonly entries: number;
  readonly faults: readonly EntryFault[];
  /** Bursts of failing requests; each entry receives `each` of them. */
  readonly bursts: readonly { readonly atMs: number; readonly each: number }[];
}

const timeMs = fc.integer({ min: 0, max: historyMs - 5_000 });

const faults: fc.Arbitrary<EntryFault> = fc.record({
  kind: fc.constantFrom('kill', 'cut'),
  atMs: timeMs,
  entry: fc.option(fc.nat({ max: maxEntries - 1 }), { nil: undefined }),
  forMs: fc.integer({ min: 100, max: 20_000 }),
});

const histories: fc.Arbitrary<SharedHistory> = fc.record({
  seed: fc.nat(),
  entries: fc.integer({ min: 1, max: maxEntries }),
  faults: fc.array(faults, { maxLength: 10 }),
  bursts: fc.array(fc.record({ atMs: timeMs, each: fc.integer({ min: 1, max: 200 }) }), {
    minLength: 1,
    maxLength: 8,
  }),
});

/** Returns the maximum number of times in one window; `times` ascend. */
function maxInWindow(times: readonly number[], windowMs: number): number {
  let first = 0;
  let most = 0;
  times.forEach((time, index) => {
    while (time - times[first]! >= windowMs) first += 1;
    most = Math.max(most, index - first + 1);
  });
  return most;
}

/** Maximum of retries less the budget earned by requests, over all windows that end with a retry. */
function maxRetriesOverBudget(retries: readonly number[], requests: readonly number[]): number {
  const { retryRatio, retryWindowMs } = platformBounds;
  const countIn = (times: readonly number[], until: number): number =>
    times.filter((at) => at <= until && at > until - retryWindowMs).length;
  const ends = [...new Set(retries)];
  return Math.max(
    0,
    ...ends.map((until) => countIn(retries, until) - countIn(requests, until) * retryRatio),
  );
}

function simulateRetriesOverBudget({
  seed,
  entries,
  faults: struck,
  bursts,
}: SharedHistory): number {
  const { retryRatio, retrySlack, retryWindowMs } = platformBounds;
  const bound = { ratio: retryRatio, slack: retrySlack, windowMs: retryWindowMs };
  const times = { now: 0 };
  const fleet = new EntryFleet(
    entries,
    struck,
    new SeededRandom(seed),
    () => new EntryCount(Infinity, retryWindowMs),
    (count) => new SharedRetryBudget(bound, () => count.current(times.now)),
  );
  const requests: number[] = [];
  const retries: number[] = [];
  for (let now = 0; now < historyMs; now += stepMs) {
    times.now = now;
    fleet.step(now, stepMs);
    const each = bursts
      .filter(({ atMs }) => atMs <= now && atMs > now - stepMs)
      .reduce((sum, burst) => sum + burst.each, 0);
    fleet.states.forEach((budget) => {
      for (let index = 0; index < each; index += 1) {
        budget.recordRequest('model', now);
        requests.push(now);
        if (budget.tryAcquire('model', now, RetryPurpose.begun)) retries.push(now);
      }
    });
  }
  return maxRetriesOverBudget(retries, requests);
}

function simulateColdSends({ seed, entries, faults: struck, bursts }: SharedHistory): number {
  const random = new SeededRandom(seed);
  const fleet = new EntryFleet(
    entries,
    struck,
    random,
    () => new EntryCount(16, 1_000),
    (count) => ({ count, rate: new SharedRateLimiter(random.next()) }),
  );
  const sends: number[] = [];
  for (let now = 0; now < historyMs; now += stepMs) {
    fleet.step(now, stepMs);
    // Requests are waiting for 3 seconds from each burst on.
    const isPressed = bursts.some(({ atMs }) => atMs <= now && atMs > now - 3_000);
    fleet.states.forEach(({ count, rate }) => {
      const share = coldPerSecond / count.current(now);
      while (isPressed && rate.allows(share, now)) {
        rate.record(share, now);
        sends.push(now);
      }
    });
  }
  return maxInWindow(sends, 1_000);
}

Then(
  'in {int} histories all entries together repeat within the bound in any window',
  (numRuns: number) => {
    const property = fc.property(histories, (history) => {
      const overBudget = simulateRetriesOverBudget(history);
      assert.ok(
        overBudget <= platformBounds.retrySlack,
        `${overBudget} retries beyond the earned budget`,
      );
    });
    fc.assert(property, { seed: propertySeed, numRuns });
  },
);

Then(
  'in {int} histories all entries together send a cold engine what it bears in any second',
  (numRuns: number) => {
    const property = fc.property(histories, (history) => {
      const most = simulateColdSends(history);
      assert.ok(most <= maxColdSends, `${most} in a second`);
    });
    fc.assert(property, { seed: propertySeed, numRuns });
  },
);

const watchHistoryMs = 15_000;

const watchFaultKinds = [
  'slowCalls',
  'slowPages',
  'slowResponses',
  'refused',
  'silent',
  'historyLost',
  'sleep',
] as const;

function createWatchHistories(
  kinds: readonly WatchFault['kind'][],
  minEvents: number,
  maxFaults: number,
): fc.Arbitrary<WatchHistory> {
  const watchFaults: fc.Arbitrary<WatchFault> = fc.record({
    kind: fc.constantFrom(...kinds),
    atMs: fc.integer({ min: 0, max: watchHistoryMs }),
    forMs: fc.integer({ min: 10, max: 5_000 }),
    delayMs: fc.integer({ min: 2, max: 1_200 }),
  });
  const changeAtMs = fc.integer({ min: 100, max: watchHistoryMs });
  return fc.record({
    changes: fc.array(changeAtMs, { minLength: minEvents, maxLength: 12 }),
    faults: fc.array(watchFaults, { minLength: minEvents, maxLength: maxFaults }),
  });
}

const watchHistories = createWatchHistories(watchFaultKinds, 0, 8);

/** Histories of a store that also answers from replicas, repeats events and sends them one by one. */
const staleHistories = createWatchHistories(
  [
    'slowPages',
    'slowResponses',
    'historyLost',
    'sleep',
    'replicaReads',
    'singleEvents',
    'repeatedEvents',
  ],
  6,
  16,
);

/** Minimum number of responses of each call, a history, that end with an older configuration. */
const minOlderResponses = 0.2;

/** Time of the key's removal that is in force at `at`; undefined while the key is present. */
function removedAt({ changes }: WatchHistory, at: number): number | undefined {
  const made = changes.filter((change) => change <= at).sort((one, other) => one - other);
  return made.length % 2 === 1 ? made.at(-1) : undefined;
}

/** Checks observations of entries over seeded histories of their store watches. */
async function checkWatchHistories(
  generated: fc.Arbitrary<WatchHistory>,
  numRuns: number,
  check: (history: WatchHistory, observations: WatchObservations) => void,
): Promise<void> {
  let honoured = 0;
  const property = fc.asyncProperty(generated, async (history) => {
    const observations = await runWatchHistory(history, watchHistoryMs);
    honoured += observations.honouredAt.length;
    check(history, observations);
  });
  await fc.assert(property, { seed: propertySeed, numRuns });
  assert.ok(honoured > numRuns * 10, `the key was honoured ${honoured} times`);
}

Then(
  'in {int} histories no entry honours a key later than the bound after its removal',
  (numRuns: number) =>
    checkWatchHistories(watchHistories, numRuns, (history, { honouredAt }) =>
      honouredAt.forEach((at) => {
        const ageMs = at - (removedAt(history, at) ?? at);
        assert.ok(ageMs <= platformBounds.revocationMs, `${ageMs} ms after its removal`);
      }),
    ),
);

/** Checks that the versions in force ascend. */
function checkAscending({ versions }: WatchObservations): void {
  const ordered = [...versions].sort((one, other) => one - other);
  assert.deepEqual(versions, ordered);
}

Then("in {int} histories no entry's configuration goes back", (numRuns: number) =>
  checkWatchHistories(watchHistories, numRuns, (_history, observations) =>
    checkAscending(observations),
  ),
);

Then(
  "in {int} histories with old responses no entry's configuration goes back",
  async (numRuns: number) => {
    const older = { snapshot: 0, changes: 0 };
    await checkWatchHistories(staleHistories, numRuns, (_history, observations) => {
      older.snapshot += observations.olderResponses.snapshot;
      older.changes += observations.olderResponses.changes;
      checkAscending(observations);
    });
    const least = Math.min(older.snapshot, older.changes);
    assert.ok(least >= numRuns * minOlderResponses, JSON.stringify(older));
  },
);
