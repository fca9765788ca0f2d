import assert from 'node:assert/strict';
import { setTimeout as sleep } from 'node:timers/promises';
import { After, Given, Then, When } from '@cucumber/cucumber';
import type { CallOutcome, ForwardingEntry } from '@laburnumstream/forwarding';
import { ResponseCollector, ConnectionPool, EndpointCall } from '@laburnumstream/forwarding';
import { platformHeaders } from '@laburnumstream/platform';
import { HistogramMetrics, SystemClock } from '@laburnumstream/runtime';
import { eventually } from '../support/assertions.js';
import { getSecondOutcome } from '../support/responseReaders.js';
import { sendRequest, sendRaw } from '../support/platformCaller.js';
import type { CallerResponse } from '../support/platformCaller.js';
import { PlatformFleet } from '../support/platformFleet.js';
import { ScriptedEndpoint } from '../support/scriptedEndpoint.js';

interface ReviewWorld {
  reviewed: ScriptedEndpoint;
  connections: ConnectionPool;
  outcome: CallOutcome | undefined;
  reviewedFleet: PlatformFleet;
  reviewedEntry: ForwardingEntry;
  response: CallerResponse | undefined;
  /** Whether the entry stopped although its caller had not read the response. */
  hasStopped: boolean;
}

/** How an engine handles a request. */
type EngineBehaviour = Parameters<typeof PlatformFleet.start>[0][number];

const refusalResponse =
  'HTTP/1.1 503 Full\r\nLaburnumstream-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n';
const earlyHintsResponse = 'HTTP/1.1 103 Early Hints\r\nLink: </style.css>\r\n\r\n';
/** Time that an endpoint takes for a request, in milliseconds. */
const runMs = 50;
const settleMs = 200;
const outcomeTimeoutMs = 1_000;
/** A stop that waits for no caller ends within this time, in milliseconds. */
const stopTimeoutMs = 2_600;
const abortedCalls = 5;
/** Larger than the socket buffers of a loopback connection. */
const longBody = Buffer.alloc(16_000_000);

function createSignedHeaders(id: unknown): Record<string, string> {
  return { 'laburnumstream-request-id': String(id), 'laburnumstream-server-seal': 'seal.e0' };
}

/** Sends the head of a stream without Content-Length or chunked encoding and closes the connection. */
const closesAfterHead: EngineBehaviour = ({ socket, headers }) => {
  const lines = Object.entries(createSignedHeaders(headers['laburnumstream-request-id']));
  const head = lines.map(([name, value]) => `${name}: ${value}\r\n`).join('');
  socket.end(`HTTP/1.1 200 OK\r\n${head}Connection: close\r\n\r\n`);
};

const respondsWithLongBody: EngineBehaviour = ({ headers }, response) => {
  response.writeHead(200, createSignedHeaders(headers['laburnumstream-request-id']));
  response.end(longBody);
};

async function startFleet(world: ReviewWorld, behaviour: EngineBehaviour): Promise<void> {
  const fleet = await PlatformFleet.start([behaviour]);
  Object.assign(world, { reviewedFleet: fleet, reviewedEntry: await fleet.startEntry() });
  await eventually(
    () => fleet.logEntries.some(({ message }) => message === 'fleet: Endpoint registered.'),
    'the engine is known',
  );
}

function createPool({ address }: ScriptedEndpoint): ConnectionPool {
  return new ConnectionPool(address, new SystemClock(), new HistogramMetrics());
}

function createResponse(id: string): string {
  return `HTTP/1.1 200 OK\r\nLaburnumstream-Request-Id: ${id}\r\nContent-Length: 4\r\n\r\ndone`;
}

After(function close(this: Partial<ReviewWorld>) {
  this.connections?.closeIdle();
  this.reviewed?.close();
});

After(async function closeFleet(this: Partial<ReviewWorld>) {
  await this.reviewedFleet?.close();
});

When(
  'an endpoint refuses a request twice without an id, the second time late',
  async function twice(this: ReviewWorld) {
    let requests = 0;
    const answered = new Set<object>();
    this.reviewed = await ScriptedEndpoint.start((socket) => {
      requests += 1;
      if (requests === 1 || answered.has(socket)) socket.write(refusalResponse);
      if (requests > 1) setTimeout(() => socket.write(createResponse('r2')), runMs);
      answered.add(socket);
    });
    this.outcome = await getSecondOutcome(this.reviewed.address);
  },
);

Then('the next request is not taken for refused', function own(this: ReviewWorld) {
  const { outcome } = this;
  const wasRefused = outcome?.kind === 'response' && outcome.response.head.wasNotRun;
  assert.equal(wasRefused, false, JSON.stringify(outcome));
});

When(
  'calls are given up while their connections are opened',
  async function giveUp(this: ReviewWorld) {
    this.reviewed = await ScriptedEndpoint.start(() => undefined);
    this.connections = createPool(this.reviewed);
    const request = { method: 'GET', path: '/', id: 'r1', headers: [], body: Buffer.alloc(0) };
    for (let call = 0; call < abortedCalls; call += 1) {
      const given = new EndpointCall(
        this.connections,
        request,
        Infinity,
        platformHeaders,
        new ResponseCollector(),
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
      socket.write(`${requests === 2 ? earlyHintsResponse : ''}${createResponse(`r${requests}`)}`);
    });
    this.outcome = await getSecondOutcome(this.reviewed.address);
  },
);

Then('that request has its own answer', function answered(this: ReviewWorld) {
  const { outcome } = this;
  assert.equal(outcome?.kind, 'response', JSON.stringify(outcome));
  if (outcome?.kind === 'response') assert.equal(outcome.response.body.toString(), 'done');
});

When(
  'an endpoint ends its side within an answer and leaves a long request unread',
  async function unread(this: ReviewWorld) {
    this.reviewed = await ScriptedEndpoint.start((socket) => {
      socket.pause();
      socket.end(createResponse('r1').slice(0, -1));
    });
    this.connections = createPool(this.reviewed);
    const collector = new ResponseCollector();
    const request = { method: 'POST', path: '/', id: 'r1', headers: [], body: longBody };
    const call = new EndpointCall(this.connections, request, Infinity, platformHeaders, collector);
    call.start();
    this.outcome = await Promise.race([collector.outcome, sleep(outcomeTimeoutMs, undefined)]);
    call.abort();
  },
);

Then('the call ends as a fault in a second', function fault(this: ReviewWorld) {
  assert.equal(this.outcome?.kind, 'fault', 'no outcome');
});

Given(
  'an engine that heads a stream without a length and closes its connection',
  function empty(this: ReviewWorld) {
    return startFleet(this, closesAfterHead);
  },
);

When('its caller asks for a stream', async function stream(this: ReviewWorld) {
  this.response = await sendRequest(this.reviewedFleet, '/single/x').catch(() => undefined);
});

Then('the caller gets no stream that looks whole', function cut(this: ReviewWorld) {
  const { response } = this;
  assert.equal(response?.status === 200 && response.isWhole, false, JSON.stringify(response));
});

Given('an engine that answers with more than a connection holds', function long(this: ReviewWorld) {
  return startFleet(this, respondsWithLongBody);
});

When(
  'the entry stops while its caller has not read the answer',
  async function stop(this: ReviewWorld) {
    const socket = sendRaw(
      this.reviewedFleet,
      'POST /unsafe/x HTTP/1.1',
      ['Content-Length: 0'],
      '',
    );
    socket.pause();
    await eventually(
      () =>
        this.reviewedFleet.logEntries.some(({ message }) => message.endsWith('Request answered.')),
      'the answer is under way',
    );
    this.hasStopped = await Promise.race([
      this.reviewedEntry.stop().then(() => true),
      sleep(stopTimeoutMs, false),
    ]);
    socket.destroy();
  },
);

Then('it waits for that caller', function waits(this: ReviewWorld) {
  assert.equal(this.hasStopped, false);
});
