import assert from 'node:assert/strict';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { EndpointStatements } from '@laburnumstream/decisions';
import { ConnectionPool, EndpointCall, ResponseCollector } from '@laburnumstream/forwarding';
import type { CallOutcome } from '@laburnumstream/forwarding';
import { platformHeaders } from '@laburnumstream/platform';
import { HistogramMetrics, SystemClock } from '@laburnumstream/runtime';
import { Behaviours, PlatformEngine } from '@laburnumstream/standins';
import fc from 'fast-check';

Then(
  /^the headers (.+) say leaving: (\w+), pause: (\w+), unreadable: ?(\w*)$/,
  (headers: string, leaving: string, pause: string, unreadable: string) => {
    const values = JSON.parse(headers) as Record<string, string | string[]>;
    const { statement } = platformHeaders.decodeResponseHead(values);
    assert.equal(String(statement.isLeaving), leaving);
    assert.equal(String(statement.pauseMs), pause);
    assert.equal(statement.unreadable.join(), unreadable);
  },
);

const propertySeed = 37;
const incarnations = ['e1@1', 'e1@2', 'e2@1'];
/** Time after the end of a pause over which requests are spread, at the most, in milliseconds. */
const maxRampMs = 500;

/** A step of a history: what an incarnation says, and when after the step before it. */
const step = fc.record({
  incarnation: fc.constantFrom(...incarnations),
  afterMs: fc.integer({ min: 0, max: 2_000 }),
  isLeaving: fc.boolean(),
  pauseMs: fc.integer({ min: 0, max: 5_000 }),
});

type Step = typeof step extends fc.Arbitrary<infer T> ? T : never;

/** Checks one history against the plain list of all its statements. */
function checkHistory(steps: readonly Step[]): void {
  const statements = new EndpointStatements(0.5);
  const said: (Step & { readonly at: number })[] = [];
  let now = 0;
  steps.forEach((current) => {
    now += current.afterMs;
    said.push({ ...current, at: now });
    if (current.isLeaving) statements.recordLeaving(current.incarnation, now);
    statements.recordPause(current.incarnation, current.pauseMs, now);
    incarnations.forEach((incarnation) => {
      const own = said.filter((other) => other.incarnation === incarnation);
      const endsAt = Math.max(-Infinity, ...own.map(({ at, pauseMs }) => at + pauseMs));
      const isAllowed = !own.some(({ isLeaving }) => isLeaving) && endsAt <= now;
      assert.equal(statements.allows(incarnation, now), isAllowed);
      const mayPlace = statements.allowsPlacement(incarnation, 6, now);
      if (!isAllowed) assert.equal(mayPlace, false);
      else if (now >= endsAt + maxRampMs) assert.equal(mayPlace, true);
    });
  });
}

Then(
  /^in (\d+) histories nothing is allowed that a statement forbids, and all else is$/,
  (numRuns: string) => {
    const property = fc.property(fc.array(step, { maxLength: 40 }), checkHistory);
    fc.assert(property, { seed: propertySeed, numRuns: Number(numRuns) });
  },
);

Then(
  /^after (\d+) endpoints that asked for a pause (\d+) that leave are still known, of at most (\d+)$/,
  (pausing: string, leaving: string, most: string) => {
    const statements = new EndpointStatements(0);
    const left = Array.from({ length: Number(leaving) }, (_, index) => `left${index}@1`);
    left.forEach((incarnation) => statements.recordLeaving(incarnation, 0));
    for (let index = 0; index < Number(pausing); index += 1)
      statements.recordPause(`paused${index}@1`, 1_000, index * 1_000);
    assert.ok(left.every((incarnation) => statements.isLeaving(incarnation)));
    assert.ok(statements.size <= Number(most), `${statements.size} records`);
  },
);

interface SendWorld {
  sendTarget: PlatformEngine;
  outcome: CallOutcome;
}

Given('an endpoint to which a request is about to be sent', async function start(this: SendWorld) {
  this.sendTarget = await PlatformEngine.start('e0', Behaviours.answers);
});

After(function close(this: Partial<SendWorld>) {
  this.sendTarget?.close();
});

When(
  'the endpoint takes no requests any more before the connection is open',
  async function send(this: SendWorld) {
    const pool = new ConnectionPool(
      this.sendTarget.address,
      new SystemClock(),
      new HistogramMetrics(),
    );
    const collector = new ResponseCollector();
    const request = { method: 'GET', path: '/', id: 'r1', headers: [], body: Buffer.alloc(0) };
    let maySend = true;
    const call = new EndpointCall(
      pool,
      request,
      Infinity,
      platformHeaders,
      collector,
      undefined,
      () => maySend,
    );
    call.start();
    maySend = false;
    this.outcome = await collector.outcome;
    assert.equal(pool.size, 0);
  },
);

Then(
  'the request fails as one that was not sent, and the endpoint has got none',
  function none(this: SendWorld) {
    assert.ok(this.outcome.kind === 'fault');
    assert.equal(this.outcome.fault, 'withheld');
    assert.equal(this.sendTarget.receivedHeaders.length, 0);
  },
);
