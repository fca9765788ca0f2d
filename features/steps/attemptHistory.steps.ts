import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import fc from 'fast-check';
import { SeededRandom } from '@laburnumstream/common';
import { AttemptHistory, RequestStage } from '@laburnumstream/decisions';
import { DispatchQueue } from '@laburnumstream/forwarding';
import type { EndpointHandle, PlacementRequest } from '@laburnumstream/forwarding';
import type { VirtualClock } from '@laburnumstream/standins';
import { AdmissionSimulation, admissionSteps } from '../support/admissionHistory.js';
import { LargeFleet, noopLog, noopMetrics } from '../support/largeFleet.js';
import { createPlacementRequest } from '../support/placementRequest.js';

interface AttemptWorld {
  clock: VirtualClock;
  queue: DispatchQueue;
  /** Whether an endpoint has room. */
  room: { isFree: boolean };
  /** Ids of the placed requests, in order, with the times of their placements. */
  placed: { id: string; at: number }[];
  subject: Promise<string>;
  retryAllowedAt: number;
}

const histories = 300;
const maxEndpoints = 2;
const endpointCount = 4;
const seed = 41;

interface Step {
  readonly endpoint: number;
  readonly kind: 'refuses' | 'fails' | 'ends' | 'returns';
  readonly afterMs: number;
}

const steps = fc.array(
  fc.record<Step>({
    endpoint: fc.integer({ min: 0, max: endpointCount - 1 }),
    kind: fc.constantFrom('refuses', 'fails', 'fails', 'ends', 'returns'),
    afterMs: fc.integer({ min: 0, max: 900 }),
  }),
  { maxLength: 30 },
);

/** Attempts of one request at endpoints that refuse it, fail it, end and come back. */
class AttemptSimulation {
  readonly endpoints = Array.from({ length: endpointCount }, (_, index) => ({ id: `e${index}` }));

  readonly stopped = new Set<string>();

  readonly sent: string[] = [];

  readonly history = new AttemptHistory(
    maxEndpoints,
    ({ id }: { id: string }) => !this.stopped.has(id),
  );

  /** Endpoints that have executed the request and run still. */
  readonly executedAt = new Set<string>();

  now = 0;

  constructor(private readonly isBegun: boolean) {}

  apply({ endpoint: index, kind, afterMs }: Step): void {
    this.now += afterMs;
    const endpoint = this.endpoints[index]!;
    if (kind === 'ends') {
      this.stopped.add(endpoint.id);
      this.executedAt.delete(endpoint.id);
    } else if (kind === 'returns') this.stopped.delete(endpoint.id);
    else this.send(endpoint, kind === 'fails');
  }

  private send(endpoint: { id: string }, isExecuted: boolean): void {
    const { history, now, isBegun } = this;
    if (this.stopped.has(endpoint.id) || !history.allowsAttempt(isBegun)) return;
    if (isBegun && history.isLimitReached) return;
    if (history.isExcluded(endpoint.id, isBegun, now)) return;
    this.sent.push(endpoint.id);
    if (!isExecuted) {
      history.recordRefusal(endpoint, now);
      return;
    }
    history.recordExecution(endpoint, now);
    this.executedAt.add(endpoint.id);
  }
}

function forAllHistories(isBegun: boolean, check: (simulation: AttemptSimulation) => void): void {
  fc.assert(
    fc.property(steps, (all) => {
      const simulation = new AttemptSimulation(isBegun);
      all.forEach((step) => {
        simulation.apply(step);
        check(simulation);
      });
    }),
    { seed, numRuns: histories },
  );
}

Then('in 300 histories no request has been executed by more running endpoints than allowed', () => {
  forAllHistories(true, ({ executedAt, history }) => {
    // An endpoint that comes back is another incarnation, which has executed nothing.
    assert.ok(executedAt.size <= maxEndpoints, `${executedAt.size} endpoints`);
    assert.ok(history.executions <= maxEndpoints + 2, `${history.executions} executions`);
  });
});

Then(
  /^in 300 histories a begun request may be sent again after (\d+) milliseconds$/,
  (ms: string) => {
    forAllHistories(true, ({ endpoints, history, now, stopped }) => {
      if (stopped.size > 0) return;
      const later = now + Number(ms);
      assert.ok(endpoints.some(({ id }) => !history.isExcluded(id, true, later)));
    });
  },
);

Then('in 300 histories a request that has not begun gets no endpoint twice', () => {
  forAllHistories(false, ({ sent }) => assert.equal(new Set(sent).size, sent.length));
});

function forAllAdmissions(
  check: (simulation: AdmissionSimulation, hasRoom: boolean) => void,
): void {
  fc.assert(
    fc.property(admissionSteps, (all) => {
      const simulation = new AdmissionSimulation();
      all.forEach((step) => check(simulation, simulation.apply(step)));
    }),
    { seed, numRuns: histories },
  );
}

Then(
  /^in 300 histories an endpoint that may refuse gets one begun request in (\d+) milliseconds$/,
  (ms: string) => {
    forAllAdmissions(({ doubtful }) => {
      const [before = -Infinity, last = Infinity] = doubtful.slice(-2);
      assert.ok(doubtful.length < 2 || last - before >= Number(ms), `${last - before} ms`);
    });
  },
);

Then(
  'in 300 histories an endpoint gets a begun request at once after it has taken one or another has left',
  () => {
    forAllAdmissions(({ admission, now }, hasRoom) => {
      if (hasRoom) assert.ok(admission.allows(now));
    });
  },
);

Then(
  /^it may be sent after (\d+) milliseconds, and after (\d+) to an endpoint that has a place$/,
  (ms: string, withPlaceMs: string) => {
    const history = new AttemptHistory(maxEndpoints, () => true);
    ['e0', 'e1', 'e2'].forEach((id) => history.recordRefusal({ id }, 0));
    const waits = (hasPlace: boolean, at: number): boolean =>
      history.isExcluded('e3', true, at, hasPlace);
    assert.ok(waits(false, Number(ms) - 1) && !waits(false, Number(ms)));
    assert.ok(waits(true, Number(withPlaceMs) - 1) && !waits(true, Number(withPlaceMs)));
  },
);

Then(
  /^it may be sent there again (\d+) milliseconds after the endpoint has refused it$/,
  (ms: string) => {
    const history = new AttemptHistory(maxEndpoints, () => true);
    const endpoint = { id: 'e0' };
    history.excludeCurrent(endpoint);
    assert.ok(history.isExcluded(endpoint.id, true, Number(ms)));
    history.recordRefusal(endpoint, 0);
    assert.ok(!history.isExcluded(endpoint.id, true, Number(ms)));
  },
);

function createQueue(world: AttemptWorld, isFree: boolean): EndpointHandle {
  const fleet = new LargeFleet(1, 1);
  const handle = [...fleet.directory.all][0]!;
  const room = { isFree };
  const source = {
    forService: () => [handle],
    available: () => (room.isFree ? [handle] : []),
    countLimited: () => 0,
    recordPlacement: () => undefined,
    canServe: () => true,
    summarizeStatements: () => ({ leaving: 0, paused: 0, pauseLeftMs: 0 }),
  };
  const { clock } = fleet;
  const queue = new DispatchQueue(source, clock, new SeededRandom(3), noopMetrics, noopLog);
  Object.assign(world, { clock, queue, room, placed: [] });
  return handle;
}

/** Places a request; resolves with how it ended. */
function place(world: AttemptWorld, request: PlacementRequest): Promise<string> {
  const { queue, clock, room, placed } = world;
  return queue.place(request, new AbortController().signal).then(
    ({ target }) => {
      // It takes the only free slot.
      room.isFree = false;
      placed.push({ id: request.id, at: clock.now() });
      return target.id;
    },
    () => 'refused',
  );
}

Given('a full endpoint and 3 requests that wait for it', function full(this: AttemptWorld) {
  createQueue(this, false);
  for (let index = 0; index < 3; index += 1) void place(this, createPlacementRequest(`r${index}`));
});

When(
  /^a request that is (\w+) comes and a slot is free after (\d+) ms$/,
  async function come(this: AttemptWorld, stage: RequestStage, ms: string) {
    this.subject = place(
      this,
      createPlacementRequest('subject', { stage, startBy: 100, goalAt: 150 }),
    );
    await this.clock.runUntil(Number(ms));
    this.room.isFree = true;
    this.queue.dispatchAll();
    await this.clock.runUntil(Number(ms) + 1);
  },
);

Then(/^it is (refused|placed first)$/, async function ended(this: AttemptWorld, result: string) {
  const first = this.placed[0]?.id;
  if (result === 'refused') assert.equal(await this.subject, 'refused');
  else assert.equal(first, 'subject');
});

Given(
  'an endpoint whose slots are taken and whose queue has room',
  function taken(this: AttemptWorld) {
    const handle = createQueue(this, true);
    for (let index = 0; index < handle.slots; index += 1) handle.load.recordStart(0);
  },
);

Then(
  'a request that is moving is not placed and one that is begun is',
  async function choose(this: AttemptWorld) {
    void place(this, createPlacementRequest('moving', { stage: RequestStage.moving }));
    await place(this, createPlacementRequest('begun', { stage: RequestStage.begun }));
    assert.deepEqual(
      this.placed.map(({ id }) => id),
      ['begun'],
    );
  },
);

Given(
  /^an endpoint with free slots and a retry budget that allows a retry after (\d+) ms$/,
  function budget(this: AttemptWorld, ms: string) {
    createQueue(this, true);
    this.retryAllowedAt = Number(ms);
  },
);

When('a request that is begun comes', async function come(this: AttemptWorld) {
  const acquireRetry = (): boolean => this.clock.now() >= this.retryAllowedAt;
  const { begun: stage } = RequestStage;
  void place(
    this,
    createPlacementRequest('subject', { stage, startBy: 100, goalAt: 150, acquireRetry }),
  );
  await this.clock.runUntil(2_000);
});

Then(/^it is placed after (\d+) ms$/, function after(this: AttemptWorld, ms: string) {
  assert.equal(this.placed[0]?.at, Number(ms));
});
