import assert from 'node:assert/strict';
import { After, Given, Then, When, World } from '@cucumber/cucumber';
import fc from 'fast-check';
import { ReturningCallers } from '@laburnumstream/bench';
import type { ReturningOutcome, ReturningShape } from '@laburnumstream/bench';
import { SeededRandom } from '@laburnumstream/common';
import { RequestStage, WaitQueue } from '@laburnumstream/decisions';
import type { QueuedRequest } from '@laburnumstream/decisions';
import { DispatchQueue } from '@laburnumstream/forwarding';
import { respondWith } from '@laburnumstream/standins';
import { eventually } from '../support/assertions.js';
import { LargeFleet, noopLog, noopMetrics, testService } from '../support/largeFleet.js';
import { createPlacementRequest } from '../support/placementRequest.js';
import { sendRequest } from '../support/platformCaller.js';
import { PlatformFleet } from '../support/platformFleet.js';

interface RecoveryWorld extends World {
  outcomes: readonly ReturningOutcome[];
  /** Outcomes without and with adaptive admission. */
  bursts: readonly (readonly ReturningOutcome[])[];
  /** Checks for room, and order of the placed requests, by the number that wait. */
  searches: Map<number, { checks: number; placed: string[] }>;
  platform: PlatformFleet;
  arrivals: number;
  status: number;
}

const engines = 9;
const secondMs = 1_000;
const longWaitMs = 500;
/** Time between checks of the queue, with some slack, in milliseconds. */
const atOnceMs = 50;
const acceptedShare = 1 / 3;
const misdirectedStatus = 421;
const places = 100;

function run(shape: Partial<ReturningShape>): Promise<readonly ReturningOutcome[]> {
  return new ReturningCallers({
    seed: 1,
    engines,
    rateFactor: 1,
    seconds: 4,
    readyAt: () => -1,
    news: 'reports',
    isAdaptive: false,
    ...shape,
  }).run();
}

function isServed({ firstEventAt }: ReturningOutcome): boolean {
  return firstEventAt !== undefined;
}

function isInTime({ firstEventAt = Infinity, request }: ReturningOutcome): boolean {
  return firstEventAt - request.arrivesAt <= request.kind.goalMs;
}

When(
  /^9 engines that are registered with weights hold them after ([\d.]+) to ([\d.]+) seconds, as (\w+) tell$/,
  { timeout: 30_000 },
  async function lose(this: RecoveryWorld, first: string, last: string, news: string) {
    const step = ((Number(last) - Number(first)) * secondMs) / engines;
    this.outcomes = await run({
      // Long enough for what is found out without news, and for waits that are given up.
      seconds: news === 'none' || Number(first) > 4 ? 16 : 4,
      rateFactor: news === 'none' ? 0.5 : 1,
      readyAt: (engine) => Number(first) * secondMs + engine * step,
      news: news as ReturningShape['news'],
    });
  },
);

Then(
  'each request that an engine without weights refused is served',
  function served(this: RecoveryWorld) {
    const misled = this.outcomes.filter(({ misdirections }) => misdirections > 0);
    assert.ok(misled.length > 0, 'no request was refused so');
    assert.equal(misled.filter(isServed).length, misled.length);
  },
);

Then(/^at most (\d+) are refused so$/, function few(this: RecoveryWorld, most: string) {
  const count = this.outcomes.reduce((sum, { misdirections }) => sum + misdirections, 0);
  assert.ok(count <= Number(most), `${count}`);
});

Then(
  /^at most 1 in (\d+) is refused after it waited for half a second$/,
  function held(this: RecoveryWorld, share: string) {
    const isHeld = ({ refusals }: ReturningOutcome): boolean =>
      refusals.some(({ waitedMs }) => waitedMs > longWaitMs);
    const count = this.outcomes.filter(isHeld).length;
    this.log(`${count} of ${this.outcomes.length}`);
    assert.ok(count * Number(share) <= this.outcomes.length, `${count}`);
  },
);

function lastOnes(outcomes: readonly ReturningOutcome[]): ReturningOutcome[] {
  return outcomes.filter(({ request }) => request.arrivesAt > 14 * secondMs);
}

Then(
  'at least 7 in 10 requests of the last 2 seconds are served',
  function served(this: RecoveryWorld) {
    const last = lastOnes(this.outcomes);
    const count = last.filter(isServed).length;
    assert.ok(count >= last.length * 0.7, `${count} of ${last.length}`);
  },
);

Then(
  'the requests of the last 2 seconds are refused at once, with a time that their callers do not have',
  function refused(this: RecoveryWorld) {
    lastOnes(this.outcomes).forEach(({ refusals }) => {
      assert.equal(refusals.length, 1);
      const [{ waitedMs, retryAfterMs, leftMs } = assert.fail()] = refusals;
      assert.ok(waitedMs <= atOnceMs, `${waitedMs} ms`);
      assert.ok(retryAfterMs > leftMs * acceptedShare, `${retryAfterMs} of ${leftMs} ms`);
    });
  },
);

When(
  '9 engines get twice the load that they can bear, from callers that return',
  { timeout: 30_000 },
  async function burst(this: RecoveryWorld) {
    const shape = { rateFactor: 2, seconds: 6 };
    this.bursts = [await run(shape), await run({ ...shape, isAdaptive: true })];
  },
);

Then(
  'with adaptive admission as many are in time, and callers come back to no place less often',
  function compare(this: RecoveryWorld) {
    const [before, adaptive] = this.bursts.map((outcomes) => ({
      inTime: outcomes.filter(isInTime).length,
      inVain: outcomes.filter(({ refusals }) => refusals.length > 1).length,
    }));
    this.log(JSON.stringify({ before, adaptive }));
    assert.ok(adaptive!.inTime >= before!.inTime);
    assert.ok(adaptive!.inVain < before!.inVain);
  },
);

/** Frees one place after another while requests wait. */
async function search(waiting: number): Promise<{ checks: number; placed: string[] }> {
  const { directory, clock } = new LargeFleet(1, 1);
  const [handle] = directory.all;
  const found = { checks: 0, placed: [] as string[], isFree: false };
  const source = {
    forService: () => [handle!],
    available: () => {
      found.checks += 1;
      return found.isFree ? [handle!] : [];
    },
    countLimited: () => 0,
    recordPlacement: () => {
      found.isFree = false;
    },
    canServe: () => true,
    summarizeStatements: () => ({ leaving: 0, paused: 0, pauseLeftMs: 0 }),
  };
  const queue = new DispatchQueue(source, clock, new SeededRandom(3), noopMetrics, noopLog);
  for (let index = 0; index < waiting; index += 1) {
    // The rate of the last second is unknown, so that all may wait.
    const request = createPlacementRequest(`r${index}`, { startBy: 1e9, goalAt: 1e9 });
    void queue.place(request, new AbortController().signal).then(({ target }) => {
      target.load.dropPlacements();
      found.placed.push(request.id);
    });
  }
  found.checks = 0;
  for (let place = 0; place < places; place += 1) {
    found.isFree = true;
    queue.dispatch(testService, handle);
    await Promise.resolve();
    queue.dispatch(testService, handle);
  }
  return found;
}

When(
  'one place becomes free 100 times while 200 and 2000 requests wait',
  { timeout: 30_000 },
  async function free(this: RecoveryWorld) {
    this.searches = new Map([
      [200, await search(200)],
      [2_000, await search(2_000)],
    ]);
  },
);

Then(
  'endpoints are asked for room equally often, and each place is taken in the order of the queue',
  function same(this: RecoveryWorld) {
    const [few, many] = [...this.searches.values()];
    assert.equal(many!.checks, few!.checks);
    const first = few!.placed.map((_id, index) => `r${index}`);
    assert.ok(first.length >= places);
    assert.deepEqual(few!.placed, first);
    assert.deepEqual(many!.placed.slice(0, first.length), first);
  },
);

const steps = fc.array(
  fc.record({
    kind: fc.constantFrom('enqueue', 'enqueue', 'remove', 'serve', 'refresh'),
    workspace: fc.constantFrom('a', 'b', 'c'),
    priority: fc.integer({ min: 0, max: 2 }),
    stage: fc.constantFrom(...Object.values(RequestStage)),
    afterMs: fc.integer({ min: 0, max: 90 }),
    startMs: fc.integer({ min: 0, max: 300 }),
  }),
  { maxLength: 60 },
);

function getRank({ stage, startBy }: QueuedRequest, now: number): number {
  if (stage === RequestStage.begun) return 0;
  if (stage === RequestStage.callerRetry) return 2;
  return stage === RequestStage.fresh && now > startBy ? 2 : 1;
}

Then('in 200 histories the queue has the order of its four criteria after each refresh', () => {
  fc.assert(
    fc.property(steps, (history) => {
      const queue = new WaitQueue<QueuedRequest>();
      const waiting: QueuedRequest[] = [];
      const served = new Map<string, number>();
      let now = 0;
      history.forEach(({ kind, afterMs, startMs, ...request }) => {
        now += afterMs;
        if (kind === 'enqueue') {
          waiting.push({ ...request, arrivedAt: now, startBy: now + startMs });
          queue.enqueue(waiting.at(-1)!, now);
        } else if (kind === 'remove' && waiting.length > 0)
          assert.ok(queue.remove(waiting.splice(startMs % waiting.length, 1)[0]!));
        else if (kind === 'serve') {
          queue.recordServed(request.workspace, now);
          served.forEach((count, name) => served.set(name, count * 0.98));
          served.set(request.workspace, (served.get(request.workspace) ?? 0) + 1);
        }
        assert.equal(queue.length, waiting.length);
        const servedOf = ({ workspace }: QueuedRequest): number => served.get(workspace) ?? 0;
        queue.inDispatchOrder(now).forEach((item, index, items) => {
          const next = items[index + 1];
          if (!next) return;
          const lead =
            getRank(item, now) - getRank(next, now) ||
            item.priority - next.priority ||
            servedOf(item) - servedOf(next);
          assert.ok(lead < 1e-9, JSON.stringify([item, next]));
        });
      });
    }),
    { seed: 17, numRuns: 200 },
  );
});

Given(
  /^an entry and an endpoint that responds 421 for (\d+) ms$/,
  { timeout: 20_000 },
  async function start(this: RecoveryWorld, ms: string) {
    this.arrivals = 0;
    let firstAt: number | undefined;
    const serve = respondWith('whole answer');
    this.platform = await PlatformFleet.start([
      (request, response, engine) => {
        this.arrivals += 1;
        firstAt ??= performance.now();
        if (performance.now() - firstAt < Number(ms)) response.writeHead(misdirectedStatus).end();
        else return serve(request, response, engine);
        return undefined;
      },
    ]);
    await this.platform.startEntry();
    const isRegistered = (): boolean =>
      this.platform.logEntries.some(({ message }) => message === 'fleet: Endpoint registered.');
    await eventually(isRegistered, 'the endpoint is registered');
  },
);

After(async function close(this: Partial<RecoveryWorld>) {
  await this.platform?.close();
});

When('a caller sends it a request', async function send(this: RecoveryWorld) {
  ({ status: this.status } = await sendRequest(this.platform, '/unsafe/x'));
});

Then(
  'it is answered, and the endpoint has got it at most 3 times',
  function answered(this: RecoveryWorld) {
    assert.equal(this.status, 200);
    assert.ok(this.arrivals >= 2 && this.arrivals <= 3, `${this.arrivals}`);
  },
);
