import assert from 'node:assert/strict';
import { setTimeout as sleep } from 'node:timers/promises';
import { After, Then, When } from '@cucumber/cucumber';
import type { CallOutcome } from '@laburnumstream/forwarding';
import { AnswerCollector, ConnectionPool, EndpointCall } from '@laburnumstream/forwarding';
import { platformHeaders } from '@laburnumstream/platform';
import { HistogramMetrics, SystemClock } from '@laburnumstream/runtime';
import { callThrough } from '../support/answerReaders.js';
import { ScriptedEndpoint } from '../support/scriptedEndpoint.js';

interface ReviewWorld {
  reviewed: ScriptedEndpoint;
  connections: ConnectionPool;
  outcome: CallOutcome | undefined;
}

const refusal = 'HTTP/1.1 503 Full\r\nLaburnumstream-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n';
const interim = 'HTTP/1.1 103 Early Hints\r\nLink: </style.css>\r\n\r\n';
/** Time in which an endpoint runs a request, in milliseconds. */
const runMs = 50;
const settleMs = 200;
const limitMs = 1_000;
/** Calls that are given up. */
const calls = 5;
/** More bytes than a connection holds on loopback. */
const longBody = Buffer.alloc(16_000_000);

function poolOf({ address }: ScriptedEndpoint): ConnectionPool {
  return new ConnectionPool(address, new SystemClock(), new HistogramMetrics());
}

function answerTo(id: string): string {
  return `HTTP/1.1 200 OK\r\nLaburnumstream-Request-Id: ${id}\r\nContent-Length: 4\r\n\r\ndone`;
}

/** The outcome of the second of two requests in turn. */
async function secondOf(world: ReviewWorld): Promise<void> {
  const { connections } = Object.assign(world, { connections: poolOf(world.reviewed) });
  await callThrough(connections, 'r1');
  Object.assign(world, { outcome: await callThrough(connections, 'r2') });
}

After(function close(this: Partial<ReviewWorld>) {
  this.connections?.closeIdle();
  this.reviewed?.close();
});

When(
  'an endpoint refuses a request twice without an id, the second time late',
  async function twice(this: ReviewWorld) {
    let requests = 0;
    const answered = new Set<object>();
    this.reviewed = await ScriptedEndpoint.start((socket) => {
      requests += 1;
      if (requests === 1 || answered.has(socket)) socket.write(refusal);
      if (requests > 1) setTimeout(() => socket.write(answerTo('r2')), runMs);
      answered.add(socket);
    });
    await secondOf(this);
  },
);

Then('the next request is not taken for refused', function own(this: ReviewWorld) {
  const { outcome } = this;
  const wasRefused = outcome?.kind === 'answer' && outcome.answer.head.wasNotRun;
  assert.equal(wasRefused, false, JSON.stringify(outcome));
});

When(
  'calls are given up while their connections are opened',
  async function giveUp(this: ReviewWorld) {
    this.reviewed = await ScriptedEndpoint.start(() => undefined);
    this.connections = poolOf(this.reviewed);
    const request = { method: 'GET', path: '/', id: 'r1', headers: [], body: Buffer.alloc(0) };
    for (let call = 0; call < calls; call += 1) {
      const given = new EndpointCall(
        this.connections,
        request,
        Infinity,
        platformHeaders,
        new AnswerCollector(),
      );
      given.start();
      given.abort();
    }
    await sleep(settleMs);
  },
);

Then('the endpoint has room again', function room(this: ReviewWorld) {
  assert.equal(this.connections.size, 0);
});

When(
  'an endpoint sends an interim answer to the second request on a connection',
  async function hints(this: ReviewWorld) {
    let requests = 0;
    this.reviewed = await ScriptedEndpoint.start((socket) => {
      requests += 1;
      socket.write(`${requests === 2 ? interim : ''}${answerTo(`r${requests}`)}`);
    });
    await secondOf(this);
  },
);

Then('that request has its own answer', function answered(this: ReviewWorld) {
  const { outcome } = this;
  assert.equal(outcome?.kind, 'answer', JSON.stringify(outcome));
  if (outcome?.kind === 'answer') assert.equal(outcome.answer.body.toString(), 'done');
});

When(
  'an endpoint ends its side within an answer and leaves a long request unread',
  async function unread(this: ReviewWorld) {
    this.reviewed = await ScriptedEndpoint.start((socket) => {
      socket.pause();
      socket.end(answerTo('r1').slice(0, -1));
    });
    this.connections = poolOf(this.reviewed);
    const collector = new AnswerCollector();
    const request = { method: 'POST', path: '/', id: 'r1', headers: [], body: longBody };
    const call = new EndpointCall(this.connections, request, Infinity, platformHeaders, collector);
    call.start();
    this.outcome = await Promise.race([collector.outcome, sleep(limitMs, undefined)]);
    call.abort();
  },
);

Then('the call ends as a fault in a second', function fault(this: ReviewWorld) {
  assert.equal(this.outcome?.kind, 'fault', 'no outcome');
});
