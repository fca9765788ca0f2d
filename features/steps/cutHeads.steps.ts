import assert from 'node:assert/strict';
import { After, Given, Then, When } from '@cucumber/cucumber';
import type { CallOutcome } from '@laburnumstream/forwarding';
import { ConnectionPool } from '@laburnumstream/forwarding';
import { HistogramMetrics, SystemClock } from '@laburnumstream/runtime';
import { eventually } from '../support/assertions.js';
import { CuttingEngines, answerBody, createHead, eventCount } from '../support/cutHeads.js';
import { sendRequest } from '../support/platformCaller.js';
import type { CallerResponse } from '../support/platformCaller.js';
import { PlatformFleet, createConfiguration } from '../support/platformFleet.js';
import { sendThroughPool } from '../support/responseReaders.js';
import { ScriptedEndpoint } from '../support/scriptedEndpoint.js';

/** A caller's response to a request whose head was cut, and how often it arrived at engines. */
interface CutResult {
  readonly cutAt: number;
  readonly response: CallerResponse;
  readonly arrivals: number;
}

interface CutHeadsWorld {
  cutOutcomes: { readonly cutAt: number; readonly outcome: CallOutcome }[];
  cutFleet: PlatformFleet;
  cutting: CuttingEngines;
  cutResults: CutResult[];
}

/** Attempts of each request: one may break, one is cut, and one is served. */
const attempts = 3;
/** Requests before each cut, so that engines do not rest after two failures in a row. */
const warmUps = 3;
const resetDelayMs = 5;

/** Least length of a head, in bytes. */
const minHeadLength = 80;

/** Returns an id of the same length for each byte. */
function createId(cutAt: number): string {
  return `cut-${String(cutAt).padStart(3, '0')}`;
}

When(
  /^an endpoint cuts the head of an answer (.+) at each byte by (a close|a reset) on (fresh|kept) connections$/,
  async function cut(this: CutHeadsWorld, framing: string, ending: string, connections: string) {
    const head = createHead(framing, 'r1', 'e0');
    let cutAt: number | undefined;
    const endpoint = await ScriptedEndpoint.start((socket) => {
      if (cutAt === undefined)
        socket.write(createHead('with a length', 'r1', 'e0').concat(answerBody));
      else if (ending === 'a close') socket.end(head.slice(0, cutAt));
      else {
        socket.write(head.slice(0, cutAt));
        setTimeout(() => socket.resetAndDestroy(), resetDelayMs);
      }
    });
    this.cutOutcomes = [];
    for (let at = 0; at < head.length; at += 1) {
      const pool = new ConnectionPool(endpoint.address, new SystemClock(), new HistogramMetrics());
      cutAt = undefined;
      if (connections === 'kept') await sendThroughPool(pool, 'r1');
      cutAt = at;
      this.cutOutcomes.push({ cutAt: at, outcome: await sendThroughPool(pool, 'r1') });
      pool.closeIdle();
    }
    endpoint.close();
  },
);

Then('none of these calls has a response', function none(this: CutHeadsWorld) {
  this.cutOutcomes.forEach(({ cutAt, outcome }) =>
    assert.notEqual(outcome.kind, 'response', `cut at ${cutAt}: ${JSON.stringify(outcome)}`),
  );
  assert.ok(this.cutOutcomes.length >= minHeadLength);
});

After(async function close(this: Partial<CutHeadsWorld>) {
  await this.cutFleet?.close();
});

Given(
  /^an entry and three engines with answers (.+) on (fresh|kept) connections$/,
  async function start(this: CutHeadsWorld, framing: string, connections: string) {
    const plan = { framing, keeps: connections === 'kept', cutArrival: 1, cutAt: undefined };
    this.cutting = new CuttingEngines(plan);
    const { behaviour } = this.cutting;
    this.cutFleet = await PlatformFleet.start([behaviour, behaviour, behaviour]);
    const { store, settings, logEntries } = this.cutFleet;
    // The budget for repeats is not what is tested: each request is repeated.
    Object.assign(settings, { bounds: { ...settings.bounds, retrySlack: 10_000 } });
    const text = JSON.stringify(createConfiguration(2, ['key-1']));
    store.write(
      'op/config',
      JSON.parse(text.replaceAll('"MaxAttempts":2', `"MaxAttempts":${attempts}`)),
    );
    await this.cutFleet.startEntry();
    await eventually(
      () =>
        logEntries.filter(({ message }) => message === 'fleet: Endpoint registered.').length === 3,
      'the engines are registered',
    );
  },
);

/** Cuts the head of one request at each byte, with whole answers between them. */
async function cutEach(world: CutHeadsWorld, route: string): Promise<void> {
  const { cutting, cutFleet } = world;
  const { plan, arrivals } = cutting;
  Object.assign(world, { cutResults: [] });
  const { length } = createHead(plan.framing, createId(0), 'e0');
  for (let cutAt = 0; cutAt < length; cutAt += 1) {
    plan.cutAt = undefined;
    const warm = Array.from({ length: warmUps }, (_, index) =>
      sendRequest(cutFleet, '/safe/x', {
        headers: { 'laburnumstream-request-id': `warm-${cutAt}-${index}` },
      }),
    );
    await Promise.all(warm);
    plan.cutAt = cutAt;
    const id = createId(cutAt);
    const headers = { 'laburnumstream-request-id': id };
    // The same content that breaks connections again and again is taken for what crashes engines.
    const response = await sendRequest(cutFleet, `/${route}/${id}`, { headers });
    world.cutResults.push({ cutAt, response, arrivals: arrivals.get(id) ?? 0 });
  }
}

When(
  /^the first engine of each request to (\w+) cuts its head, at each byte once$/,
  { timeout: 120_000 },
  function cut(this: CutHeadsWorld, route: string) {
    return cutEach(this, route);
  },
);

When(
  'the first engine of each request to stream breaks within its events, and the next cuts its head, at each byte once',
  { timeout: 120_000 },
  function cut(this: CutHeadsWorld) {
    Object.assign(this.cutting.plan, { cutArrival: 2 });
    return cutEach(this, 'stream');
  },
);

const wholeEvents = Array.from({ length: eventCount }, (_, index) => String(index + 1));

/** Checks of a caller's response, by the names that step texts use. */
const outcomeChecks: Readonly<Record<string, (result: CutResult, shown: string) => void>> = {
  'the answer of another engine': ({ response, arrivals }, shown) => {
    assert.equal(response.status, 200, shown);
    assert.equal(response.body, answerBody, shown);
    assert.equal(arrivals, 2, shown);
  },
  'a failure after one run': ({ response, arrivals }, shown) => {
    assert.equal(response.status, 502, shown);
    assert.equal(response.headers['laburnumstream-server-seal'], undefined, shown);
    assert.equal(arrivals, 1, shown);
  },
  'each event once': ({ response }, shown) => {
    assert.equal(response.status, 200, shown);
    assert.ok(response.isWhole, shown);
    const ids = [...response.body.matchAll(/^id: (\d+)$/gm)].map(([, id]) => id);
    assert.deepEqual(ids, wholeEvents, shown);
  },
};

Then(/^each caller has (.+)$/, function outcome(this: CutHeadsWorld, expected: string) {
  this.cutResults.forEach((result) => {
    const { status, body } = result.response;
    const lines = this.cutFleet.logEntries.filter(
      ({ fields }) => fields.id === createId(result.cutAt),
    );
    outcomeChecks[expected]!(
      result,
      `cut at ${result.cutAt}: ${status} ${body} ${JSON.stringify(lines)}`,
    );
  });
  assert.ok(this.cutResults.length >= minHeadLength);
  const { cuts, plan } = this.cutting;
  if (expected === 'each event once') {
    this.cutResults.forEach(({ cutAt, arrivals }) =>
      assert.equal(arrivals, plan.cutArrival + 1, `arrivals of the one cut at ${cutAt}`),
    );
  }
  assert.ok(plan.keeps ? cuts.kept > 0 : cuts.kept === 0, JSON.stringify(cuts));
});
