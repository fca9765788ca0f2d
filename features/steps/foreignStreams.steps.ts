import assert from 'node:assert/strict';
import type { Socket } from 'node:net';
import { setImmediate as nextTurn, setTimeout as sleep } from 'node:timers/promises';
import { After, Then, When } from '@cucumber/cucumber';
import { ConnectionPool, EndpointCall, ResponseCollector } from '@laburnumstream/forwarding';
import type { CallOutcome } from '@laburnumstream/forwarding';
import { platformHeaders } from '@laburnumstream/platform';
import { HistogramMetrics, SystemClock } from '@laburnumstream/runtime';
import {
  createAnswer,
  ownAnswer,
  ownAnswerBody,
  ownId,
  provenResponses,
  unprovenResponses,
} from '../support/foreignResponses.js';
import { sampleInputs } from '../support/fuzzInputs.js';
import { sendThroughPool } from '../support/responseReaders.js';
import { responseStreams } from '../support/responseStreams.js';
import type { ResponseStream } from '../support/responseStreams.js';
import { ScriptedEndpoint } from '../support/scriptedEndpoint.js';

/** What the second request on a connection received. */
interface Reading {
  /** Undefined if nothing ended the request. */
  readonly outcome: CallOutcome | undefined;
  /** Body bytes that were delivered. */
  readonly delivered: string;
  /** Connections of the pool afterwards. */
  readonly connections: number;
}

interface StreamsWorld {
  streamEndpoint: ScriptedEndpoint;
  reading: Reading;
  /** Bodies by the ids of their requests. */
  bodies: Map<string, string>;
  /** Sockets on which each request arrived. */
  arrivals: Socket[];
  readings: { readonly stream: ResponseStream; readonly reading: Reading }[];
}

const firstId = 'first-1';
/** Time within which a request ends once the last byte was written, in milliseconds. */
const settleMs = 150;
const outcomeTimeoutMs = 5_000;
/** Number of streams that are read at the same time. */
const batchSize = 25;
const requestCount = 20;
/** Length of the longest response that is split at each byte, in bytes. */
const maxSplitBytes = 1_000;
const seed = 42;

const endConnection: Readonly<Record<ResponseStream['end'], (socket: Socket) => void>> = {
  open: () => undefined,
  close: (socket) => socket.end(),
  reset: (socket) => socket.resetAndDestroy(),
};

function createPool({ address }: ScriptedEndpoint): ConnectionPool {
  return new ConnectionPool(address, new SystemClock(), new HistogramMetrics());
}

async function writeStream(socket: Socket, { pieces, end }: ResponseStream): Promise<void> {
  for (const piece of pieces) {
    socket.write(piece);
    await nextTurn();
  }
  endConnection[end](socket);
}

/** Reads a stream with the second request on a connection. */
async function readStream(stream: ResponseStream, timeoutMs = settleMs): Promise<Reading> {
  let isKept = false;
  let written: Promise<void> | undefined;
  const endpoint = await ScriptedEndpoint.start((socket) => {
    if (isKept) written ??= writeStream(socket, stream);
    else socket.write(createAnswer(firstId));
  });
  const pool = createPool(endpoint);
  // On a busy machine a connection may not come to be in time.
  while (!isKept) isKept = (await sendThroughPool(pool, firstId)).kind === 'response';
  const collector = new ResponseCollector();
  let delivered = '';
  const request = { method: 'GET', path: '/', id: ownId, headers: [], body: Buffer.alloc(0) };
  const call = new EndpointCall(pool, request, Infinity, platformHeaders, {
    onHead: (...head) => collector.onHead(...head),
    onData: (bytes) => {
      delivered += bytes.toString('latin1');
      collector.onData(bytes);
    },
    onEnd: () => collector.onEnd(),
    onFailure: (...fault) => collector.onFailure(...fault),
  });
  call.start();
  const outcome = await Promise.race([collector.outcome, sleep(timeoutMs, undefined)]);
  await written;
  call.abort();
  const connections = pool.size;
  pool.closeIdle();
  endpoint.close();
  return { outcome, delivered, connections };
}

/** Sends a request, again if on a busy machine its connection did not come to be in time. */
async function sendWithId(pool: ConnectionPool, id: string): Promise<CallOutcome> {
  const headers = ['Laburnumstream-Request-Id', id];
  const request = { method: 'GET', path: '/', id, headers, body: Buffer.alloc(0) };
  for (;;) {
    const collector = new ResponseCollector();
    new EndpointCall(pool, request, Infinity, platformHeaders, collector).start();
    const outcome = await collector.outcome;
    if (outcome.kind === 'response' || outcome.fault !== 'connection') return outcome;
  }
}

/** Reads streams, some at the same time. */
async function readStreams(streams: readonly ResponseStream[]): Promise<StreamsWorld['readings']> {
  const readings: StreamsWorld['readings'] = [];
  for (let at = 0; at < streams.length; at += batchSize) {
    const batch = streams.slice(at, at + batchSize).map(async (stream) => ({
      stream,
      reading: await readStream(stream, stream.isProven ? outcomeTimeoutMs : settleMs),
    }));
    readings.push(...(await Promise.all(batch)));
  }
  return readings;
}

function createStream(text: string): ResponseStream {
  return { pieces: [text], end: 'open', isProven: true };
}

function hasOwnAnswer({ outcome, delivered }: Reading): boolean {
  return (
    outcome?.kind === 'response' && outcome.response.status === 200 && delivered === ownAnswerBody
  );
}

After(function close(this: Partial<StreamsWorld>) {
  this.streamEndpoint?.close();
});

When(
  /^an endpoint writes a response to another request, framed by (.+), before each second answer$/,
  async function alternate(this: StreamsWorld, framing: string) {
    this.arrivals = [];
    this.bodies = new Map();
    this.streamEndpoint = await ScriptedEndpoint.start((socket, request) => {
      const id = /laburnumstream-request-id: (\S+)/i.exec(request)![1]!;
      const isFirst = !this.arrivals.includes(socket);
      this.arrivals.push(socket);
      socket.write(`${isFirst ? '' : provenResponses[framing]}${createAnswer(id)}`);
    });
    const pool = createPool(this.streamEndpoint);
    for (let request = 0; request < requestCount; request += 1) {
      const id = `request-${request}`;
      const outcome = await sendWithId(pool, id);
      if (outcome.kind === 'response') this.bodies.set(id, outcome.response.body.toString());
    }
    pool.closeIdle();
  },
);

Then(
  'each request has its own answer and none is sent on a connection with such a response',
  function alternated(this: StreamsWorld) {
    assert.equal(this.bodies.size, requestCount);
    this.bodies.forEach((body, id) => assert.equal(body, id));
    const uses = new Map<Socket, number>();
    this.arrivals.forEach((socket) => uses.set(socket, (uses.get(socket) ?? 0) + 1));
    assert.deepEqual([...new Set(uses.values())], [2]);
  },
);

When(
  /^an endpoint writes (.+) before the answer to the second request on a connection$/,
  async function before(this: StreamsWorld, response: string) {
    const text = `${unprovenResponses[response]!}${ownAnswer}`;
    this.reading = await readStream(createStream(text), outcomeTimeoutMs);
  },
);

Then(
  /^that request fails as (\w+) and its connection is closed$/,
  function fails(this: StreamsWorld, fault: string) {
    const { outcome, delivered, connections } = this.reading;
    assert.equal(outcome?.kind, 'fault', JSON.stringify(outcome));
    if (outcome?.kind === 'fault') assert.equal(outcome.fault, fault, outcome.reason);
    assert.equal(delivered, '');
    assert.equal(connections, 0);
  },
);

When(
  'copies before an answer are split at each byte',
  { timeout: 120_000 },
  async function split(this: StreamsWorld) {
    this.readings = [];
    const short = Object.values(provenResponses).filter(({ length }) => length <= maxSplitBytes);
    for (const response of short) {
      const text = `${response}${ownAnswer}`;
      const streams = Array.from(text.slice(1), (_character, index) => ({
        pieces: [text.slice(0, index + 1), text.slice(index + 1)],
        end: 'open' as const,
        isProven: true,
      }));
      streams.push({ pieces: [...text], end: 'open', isProven: true });
      this.readings.push(...(await readStreams(streams)));
    }
  },
);

Then('each request has its own answer', function each(this: StreamsWorld) {
  const missed = this.readings.filter(({ reading }) => !hasOwnAnswer(reading));
  assert.ok(this.readings.length > 0);
  assert.deepEqual(missed.slice(0, 3), [], `${missed.length} of ${this.readings.length}`);
});

When(
  '{int} generated streams of responses are read by the second request on a connection',
  { timeout: 120_000 },
  async function generated(this: StreamsWorld, count: number) {
    const streams = sampleInputs(responseStreams, count, seed);
    this.readings = await readStreams(streams);
  },
);

Then('no caller has a byte that is not its own, nor a refusal', function none(this: StreamsWorld) {
  const foreign = this.readings.filter(({ reading: { outcome, delivered } }) => {
    const isOwn = outcome?.kind !== 'response' || outcome.response.status === 200;
    const isWhole = outcome?.kind !== 'response' || delivered === ownAnswerBody;
    return !isOwn || !isWhole || !ownAnswerBody.startsWith(delivered);
  });
  assert.deepEqual(foreign.slice(0, 3), [], `${foreign.length} of ${this.readings.length}`);
});

Then(
  'each caller whose answer follows one response with a proven end has it',
  function proven(this: StreamsWorld) {
    const readings = this.readings.filter(({ stream }) => stream.isProven);
    const missed = readings.filter(({ reading }) => !hasOwnAnswer(reading));
    assert.ok(readings.length > 0);
    assert.deepEqual(missed.slice(0, 3), [], `${missed.length} of ${readings.length}`);
  },
);
