import assert from 'node:assert/strict';
import { setTimeout as sleep } from 'node:timers/promises';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { HttpModelEngine, HttpPlainService, HttpWeightOrigin } from '@laburnumstream/clients';
import { EventSplitter, ResponseMemory } from '@laburnumstream/decisions';
import { Behaviours, PlatformEngine, respondWith } from '@laburnumstream/standins';
import { eventually } from '../support/assertions.js';
import { EndlessEndpoint, bodyBeforeMore } from '../support/endlessEndpoint.js';
import { parseMetrics } from '../support/metricsText.js';
import { sendRequest } from '../support/platformCaller.js';
import type { CallerResponse } from '../support/platformCaller.js';
import { PlatformFleet } from '../support/platformFleet.js';
import { callEndpoint, responseReaders } from '../support/responseReaders.js';
import type { ResponseReader } from '../support/responseReaders.js';
import { ScriptedEndpoint } from '../support/scriptedEndpoint.js';

interface EndlessWorld {
  endless: EndlessEndpoint;
  /** Further endpoints that answer without end. */
  moreEndless: EndlessEndpoint[];
  other: PlatformEngine;
  endlessFleet: PlatformFleet;
  /** Body that a reader returned, or its failure. */
  outcome: string;
  answers: CallerResponse[];
  /** Largest number of bytes of answers that the entry has held. */
  mostHeldBytes: number;
}

/** Timeout of clients that have one, in milliseconds: the size of an answer ends the call before. */
const clientTimeoutMs = 20_000;
/** Timeout within which a client without a bound on an answer's head gives up, in milliseconds. */
const headTimeoutMs = 500;
const maxHeadTimeouts = 8;
/** Time that a reader has after an endless response has stopped, in milliseconds. */
const settleMs = 1_000;
const smallChunksTimeoutMs = 20_000;
const megabyte = 1_000_000;
/** Bytes by which answers grow in turn. */
const stepBytes = 1_000;
const maxRequests = 100;
const samplingMs = 2;
/** Bytes that an engine sends before an entry gives up, beside those in buffers of sockets. */
const maxPathMegabytes = 48;

/** Clients besides those of `responseReaders`, with a timeout that does not fire first. */
const patientReaders: Readonly<Record<string, ResponseReader>> = {
  'the client of plain services': async (address) => {
    const service = new HttpPlainService(`http://${address}`, clientTimeoutMs);
    const call = { method: 'GET', path: '/x' } as Parameters<HttpPlainService['call']>[0];
    return (await service.call(call, AbortSignal.timeout(clientTimeoutMs))).body;
  },
  'the client of weights': async (address) => {
    const client = new HttpWeightOrigin(`http://${address}`, clientTimeoutMs);
    return Buffer.from(await client.chunk('m', '1', 0)).toString();
  },
  'the client of a model engine': async (address) => {
    const engine = new HttpModelEngine(`http://${address}`, headTimeoutMs);
    const generation = { id: 'r1' } as Parameters<HttpModelEngine['generate']>[0];
    const tokens: string[] = [];
    for await (const { text } of engine.generate(
      generation,
      AbortSignal.timeout(headTimeoutMs * maxHeadTimeouts),
    )) {
      tokens.push(text);
    }
    return tokens.join('');
  },
};

After(async function close(this: Partial<EndlessWorld>) {
  this.endless?.close();
  this.moreEndless?.forEach((endpoint) => endpoint.close());
  this.other?.close();
  await this.endlessFleet?.close();
});

When(
  /^(.+) reads (.+) without end$/,
  async function read(this: EndlessWorld, reader: string, bytes: string) {
    this.endless = await EndlessEndpoint.start(bytes);
    const readResponse = patientReaders[reader] ?? responseReaders[reader]!;
    const outcome = readResponse(this.endless.address).then(
      (body) => body ?? '',
      (error: unknown) => String(error),
    );
    const none = this.endless.stopped.then(() => sleep(settleMs, 'no outcome'));
    this.outcome = await Promise.race([outcome, none]);
  },
);

Then(
  /^it gives up for their size, after at most (\d+) MB were sent$/,
  async function tooLarge(this: EndlessWorld, megabytes: string) {
    assert.match(this.outcome, /oversized|too large/i);
    await checkClosed(this, Number(megabytes));
  },
);

Then('it gives up', function givesUp(this: EndlessWorld) {
  assert.match(this.outcome, /OutcomeUnknown/);
});

Then(
  /^it has (.+), after at most (\d+) MB were sent$/,
  async function has(this: EndlessWorld, outcome: string, megabytes: string) {
    if (outcome === bodyBeforeMore) assert.equal(this.outcome, bodyBeforeMore);
    else assert.match(this.outcome, new RegExp(outcome));
    await checkClosed(this, Number(megabytes));
  },
);

/** Checks that the reader closed the connection before most of the bytes had been sent. */
async function checkClosed({ endless }: EndlessWorld, megabytes: number): Promise<void> {
  await eventually(() => endless.closedByCaller === 1, 'the connection is closed');
  assert.ok(endless.sentBytes <= megabytes * megabyte, `${endless.sentBytes} bytes were sent`);
}

/** Sends an answer of `body` in chunks of `size` bytes. */
async function readInChunks(body: Buffer, size: number): Promise<string> {
  const endpoint = await ScriptedEndpoint.start((socket) => {
    const parts = [
      'HTTP/1.1 200 OK\r\nLaburnumstream-Request-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n',
    ];
    for (let at = 0; at < body.length; at += size) {
      const part = body.toString('latin1', at, at + size);
      parts.push(`${part.length.toString(16)}\r\n${part}\r\n`);
    }
    socket.write(`${parts.join('')}0\r\n\r\n`, 'latin1');
  });
  const outcome = await callEndpoint(endpoint.address);
  endpoint.close();
  return outcome.kind === 'response' ? outcome.response.body.toString('latin1') : outcome.reason;
}

/** Bytes in which all values of a byte take turns, out of step with any block. */
function createBody(length: number): Buffer {
  return Buffer.alloc(length, Buffer.from(Array.from({ length: 251 }, (_, index) => index)));
}

Then('an entry reads an answer of 30 MB whole, in one piece and in pieces of 7 bytes', async () => {
  const body = createBody(30 * megabyte);
  assert.ok((await readInChunks(body, body.length)) === body.toString('latin1'));
  const small = body.subarray(0, 3 * megabyte);
  assert.ok((await readInChunks(small, 7)) === small.toString('latin1'));
});

Then(
  /^an entry reads answers of (.+) chunks of one byte whole$/,
  { timeout: smallChunksTimeoutMs },
  async (counts: string) => {
    for (const count of counts.split(', ')) {
      const body = createBody(Number(count));
      assert.equal(await readInChunks(body, 1), body.toString('latin1'));
    }
  },
);

Then('a stream with an event of 4 MB, in pieces of any size, gives this event', () => {
  const event = Buffer.from(`id: 7\ndata: ${'x'.repeat(4 * megabyte)}\n\n`);
  [997, 65_536, event.length].forEach((size) => {
    const splitter = new EventSplitter();
    const batches = [];
    for (let at = 0; at < event.length; at += size)
      batches.push(splitter.push(event.subarray(at, at + size)));
    const { bytes, count, lastId } = batches.at(-1)!;
    assert.deepEqual({ count, lastId }, { count: 1, lastId: 7 });
    assert.ok(batches.slice(0, -1).every((batch) => batch.count === 0 && batch.bytes.length === 0));
    assert.ok(bytes.equals(event));
  });
});

async function waitForEngines({ endlessFleet }: EndlessWorld, count: number): Promise<void> {
  await eventually(() => {
    const known = endlessFleet.logEntries.filter(
      ({ message }) => message === 'fleet: Endpoint registered.',
    );
    return known.length === count;
  }, `${count} engines are known`);
}

Given(
  /^an entry on the platform with an engine that sends (.+) without end$/,
  async function start(this: EndlessWorld, bytes: string) {
    this.endless = await EndlessEndpoint.start(bytes);
    this.endlessFleet = await PlatformFleet.start([]);
    this.endlessFleet.registerEngine({ id: 'e0', address: this.endless.address }, 'ready');
    await this.endlessFleet.startEntry();
    await waitForEngines(this, 1);
    this.answers = [];
  },
);

Given(/^another engine that (\w+)$/, async function another(this: EndlessWorld, name: string) {
  this.other = await PlatformEngine.start('e1', Behaviours[name as keyof typeof Behaviours]);
  this.endlessFleet.registerEngine(this.other, 'ready');
  await waitForEngines(this, 2);
});

When(
  /^callers send requests to (\w+) until the first engine got one$/,
  async function until(this: EndlessWorld, route: string) {
    for (let sent = 0; sent < maxRequests && this.endless.requests === 0; sent += 1)
      this.answers.push(await sendRequest(this.endlessFleet, `/${route}/x`));
  },
);

When(
  /^callers send (\d+) requests to (\w+), (\d+) at a time$/,
  async function several(this: EndlessWorld, count: string, route: string, parallel: string) {
    for (let sent = 0; sent < Number(count); sent += Number(parallel)) {
      const answers = Array.from({ length: Number(parallel) }, () =>
        sendRequest(this.endlessFleet, `/${route}/x`),
      );
      this.answers.push(...(await Promise.all(answers)));
    }
  },
);

Given(
  /^(\d+) more engines that send (.+) without end$/,
  async function more(this: EndlessWorld, count: string, bytes: string) {
    const ids = Array.from({ length: Number(count) }, (_, index) => `more-${index}`);
    this.moreEndless = await Promise.all(ids.map(() => EndlessEndpoint.start(bytes)));
    this.moreEndless.forEach(({ address }, index) =>
      this.endlessFleet.registerEngine({ id: ids[index]!, address }, 'ready'),
    );
    await waitForEngines(this, 1 + Number(count));
  },
);

/** Returns the bytes of answers that an entry holds. */
function readHeldBytes({ metrics }: PlatformFleet): number {
  const samples = parseMetrics(metrics.render());
  return samples.find(({ name }) => name.endsWith('response_memory_bytes'))!.value;
}

When(
  /^(\d+) callers of each kind of route send a request at the same moment$/,
  async function crowd(this: EndlessWorld, count: string) {
    const callers = ['safe', 'unsafe', 'single'].flatMap((route) =>
      Array.from({ length: Number(count) }, () => sendRequest(this.endlessFleet, `/${route}/x`)),
    );
    this.mostHeldBytes = 0;
    const sampling = setInterval(() => {
      this.mostHeldBytes = Math.max(this.mostHeldBytes, readHeldBytes(this.endlessFleet));
    }, samplingMs);
    await Promise.allSettled(callers);
    clearInterval(sampling);
  },
);

Then(
  /^the entry has held at least (\d+) MB of answers and at most (\d+)$/,
  function held(this: EndlessWorld, least: string, most: string) {
    const megabytes = this.mostHeldBytes / megabyte;
    assert.ok(megabytes >= Number(least), `${megabytes} MB`);
    assert.ok(megabytes <= Number(most), `${megabytes} MB`);
  },
);

When(/^one caller sends a request to (\w+)$/, async function one(this: EndlessWorld, name: string) {
  this.answers.push(await sendRequest(this.endlessFleet, `/${name}/x`));
});

Then(/^the caller gets (\d+)$/, function status(this: EndlessWorld, expected: string) {
  assert.deepEqual(
    this.answers.map((answer) => answer.status),
    [Number(expected)],
  );
});

Then('all of them get a whole answer', function whole(this: EndlessWorld) {
  this.answers.forEach(({ status, body }) => {
    assert.equal(status, 200);
    assert.equal(body, bodyBeforeMore);
  });
});

function listEventIds({ body }: CallerResponse): number[] {
  return [...body.matchAll(/^id: (\d+)$/gm)].map(([, id]) => Number(id));
}

Then('all of them get events 1 to 12 once each', function events(this: EndlessWorld) {
  const expected = Array.from({ length: 12 }, (_, index) => index + 1);
  this.answers.forEach((answer) => {
    assert.deepEqual(listEventIds(answer), expected);
    assert.ok(answer.isWhole, 'the answer ends as whole');
  });
});

Then(/^the stream is cut after event (\d+)$/, function cut(this: EndlessWorld, last: string) {
  const [answer] = this.answers;
  assert.equal(listEventIds(answer!).at(-1), Number(last));
  assert.ok(!answer!.isWhole, 'the answer does not end as whole');
});

Then(
  /^the engine got 1 request, which the entry gave up for its size( or its time)?$/,
  async function gaveUp(this: EndlessWorld, orTime: string | null) {
    const { endless, endlessFleet } = this;
    assert.equal(endless.requests, 1);
    await checkClosed(this, maxPathMegabytes);
    const faults = endlessFleet.logEntries
      .filter(({ message }) => message === 'requests: Attempt failed.')
      .map(({ fields }) => String(fields.fault));
    assert.equal(faults.length, 1);
    // An attempt that may be repeated also ends when it takes much longer than expected.
    const allowed = orTime ? ['oversized', 'silent'] : ['oversized'];
    assert.ok(allowed.includes(faults[0]!), faults[0]);
    const counted = endlessFleet.metrics.render();
    assert.match(counted, new RegExp(`attempts_${faults[0]!}`));
  },
);

/** What the first engine received and which attempts the entry logged as failed. */
function describeAttempts({ endless, endlessFleet }: EndlessWorld): string {
  const failed = endlessFleet.logEntries
    .filter(({ message }) => message === 'requests: Attempt failed.')
    .map(({ fields }) => JSON.stringify(fields));
  return `${endless.received.join('; ')} were received; failed: ${failed.join('; ')}`;
}

Then(
  /^each gets a whole answer or 502, and the first engine got at most (\d+) of them$/,
  function each(this: EndlessWorld, most: string) {
    const failed = this.answers.filter(({ status }) => status !== 200);
    assert.deepEqual([...new Set(failed.map(({ status }) => status))], [502]);
    this.answers
      .filter(({ status }) => status === 200)
      .forEach(({ body }) => assert.equal(body, bodyBeforeMore));
    assert.equal(this.endless.requests, failed.length, describeAttempts(this));
    assert.ok(failed.length <= Number(most), `${failed.length} requests`);
  },
);

/** Grows `count` responses in turn until each was refused once; returns the memory they share. */
function fillMemory(maxBytes: number, count: number): ResponseMemory {
  const memory = new ResponseMemory(maxBytes);
  const held = Array.from({ length: count }, () => 0);
  const refused = new Set<number>();
  while (refused.size < count) {
    held.forEach((bytes, index) => {
      if (memory.reserve(bytes, stepBytes)) held[index] = bytes + stepBytes;
      else refused.add(index);
    });
    assert.ok(memory.usedBytes <= maxBytes, `${memory.usedBytes} bytes are used`);
  }
  return memory;
}

Then(
  /^it is never exceeded by (\d+), (\d+) or (\d+) answers without end, and small answers find room beside them$/,
  (one: string, several: string, many: string) => {
    const maxBytes = 1_000_000;
    [one, several, many].map(Number).forEach((count) => {
      const memory = fillMemory(maxBytes, count);
      const smallBytes = Math.floor(maxBytes / (2 * (count + 2)));
      assert.ok(memory.reserve(0, smallBytes), `${count} answers leave no room for ${smallBytes}`);
      memory.release(memory.usedBytes);
      assert.ok(memory.reserve(0, maxBytes / 2), 'memory that was given back is free');
    });
  },
);

When(
  'a caller leaves within such an answer, and two get 502',
  async function leave(this: EndlessWorld) {
    const left = new AbortController();
    const sending = sendRequest(this.endlessFleet, '/unsafe/x', { signal: left.signal });
    const abandoned = sending.catch(() => undefined);
    await eventually(() => this.endless.sentBytes > 4 * megabyte, 'part of an answer was sent');
    left.abort();
    await abandoned;
    await eventually(() => this.endless.closedByCaller === 1, 'the connection is closed');
    for (let sent = 0; sent < 2; sent += 1)
      assert.equal((await sendRequest(this.endlessFleet, '/unsafe/x')).status, 502);
  },
);

When(
  'an engine with an answer of 30 MB takes its place',
  async function replace(this: EndlessWorld) {
    this.other = await PlatformEngine.start('e1', respondWith('x'.repeat(30 * megabyte)));
    this.endlessFleet.registerEngine(this.other, 'ready');
    this.endlessFleet.registerEngine({ id: 'e0', address: this.endless.address }, 'draining');
    await waitForEngines(this, 3);
  },
);

Then('a caller of unsafe gets this answer whole', async function whole(this: EndlessWorld) {
  const { status, body, isWhole } = await sendRequest(this.endlessFleet, '/unsafe/x');
  assert.deepEqual([status, body.length, isWhole], [200, 30 * megabyte, true]);
});
