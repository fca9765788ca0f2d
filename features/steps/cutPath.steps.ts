import assert from 'node:assert/strict';
import { once } from 'node:events';
import type { Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { Then, When } from '@cucumber/cucumber';
import { eventually } from '../support/assertions.js';
import { sendRaw, sendRequest } from '../support/platformCaller.js';
import type { CallerResponse } from '../support/platformCaller.js';
import type { PlatformFleet } from '../support/platformFleet.js';

interface CutWorld {
  platform: PlatformFleet;
  response: CallerResponse;
}

/** Time within which a forwarded request would reach an engine, in milliseconds. */
const executionWaitMs = 200;

async function readText(socket: Socket): Promise<string> {
  const parts: Buffer[] = [];
  socket.on('data', (part: Buffer) => parts.push(part));
  await once(socket, 'close');
  return Buffer.concat(parts).toString();
}

Then(/^its stream is (cut|whole)$/, function outcome(this: CutWorld, end: string) {
  const { status, body, isWhole } = this.response;
  assert.equal(status, 200, JSON.stringify(this.platform.logEntries));
  assert.equal(isWhole, end === 'whole', body);
  const ids = [...body.matchAll(/^id: (\d+)$/gm)].map(([, id]) => Number(id));
  const expected = end === 'whole' ? 12 : 5;
  assert.deepEqual(
    ids,
    Array.from({ length: expected }, (_each, index) => index + 1),
  );
});

Then(
  /^a caller with HTTP\/1\.0 gets 505 for a stream and a whole answer otherwise$/,
  async function old(this: CutWorld) {
    const stream = sendRaw(this.platform, 'POST /stream/x HTTP/1.0', ['Content-Length: 0'], '');
    assert.match(await readText(stream), /^HTTP\/1\.[01] 505 /);
    const plain = sendRaw(this.platform, 'POST /unsafe/x HTTP/1.0', ['Content-Length: 0'], '');
    const text = await readText(plain);
    const [, length] = /content-length: (\d+)/i.exec(text) ?? [];
    assert.equal(text.slice(text.indexOf('\r\n\r\n') + 4).length, Number(length));
  },
);

const partialRequests: Readonly<Record<string, { header: string; body: string }>> = {
  'with a length': { header: 'Content-Length: 10', body: 'first' },
  'in chunks': { header: 'Transfer-Encoding: chunked', body: '5\r\nfirst\r\n' },
};

const disconnects: Readonly<Record<string, (socket: Socket) => void>> = {
  closes: (socket) => socket.end(),
  resets: (socket) => socket.resetAndDestroy(),
};

When(
  /^a caller sends half of a body (with a length|in chunks) and (closes|resets)$/,
  async function half(this: CutWorld, framing: string, end: string) {
    const { header, body } = partialRequests[framing]!;
    const socket = sendRaw(this.platform, 'POST /unsafe/x HTTP/1.1', [header], body);
    await once(socket, 'connect');
    await sleep(executionWaitMs);
    disconnects[end]!(socket);
    await sleep(executionWaitMs);
    socket.destroy();
  },
);

Then('no engine gets a request', function none(this: CutWorld) {
  assert.deepEqual(
    this.platform.engines.flatMap(({ receivedHeaders }) => receivedHeaders),
    [],
  );
});

When(
  /^a caller sends a request to (\w+) until it is refused for (\w+)$/,
  { timeout: 20_000 },
  async function refused(this: CutWorld, route: string, reason: string) {
    const counted = new RegExp(`reason="${reason}"`);
    await eventually(async () => {
      this.response = await sendRequest(this.platform, `/${route}/x`);
      return this.response.status === 503 && counted.test(this.platform.metrics.render());
    }, `a request is refused for ${reason}`);
  },
);

When('operators release all quarantines', async function withdraw(this: CutWorld) {
  const { store } = this.platform;
  const getKeys = (): string[] => store.keys('laburnumstream/convictions/');
  await eventually(() => getKeys().length > 0, 'quarantines are stored');
  getKeys().forEach((key) => {
    const value = JSON.parse(Buffer.from(store.read(key)!, 'base64').toString('utf8')) as object;
    store.write(key, { ...value, isWithdrawn: true });
  });
});

Then(
  /^a request to (\w+) is sent to an engine again$/,
  async function again(this: CutWorld, route: string) {
    const { engines } = this.platform;
    const countRuns = (): number =>
      engines.reduce((sum, { startedRequestIds }) => sum + startedRequestIds.length, 0);
    const before = countRuns();
    await eventually(async () => {
      await sendRequest(this.platform, `/${route}/x`);
      return countRuns() > before;
    }, 'an engine gets a request');
  },
);

Then(/^the metrics count (\w+) (\d+)$/, function count(this: CutWorld, name: string, by: string) {
  const text = this.platform.metrics.render();
  assert.match(text, new RegExp(`^${name}(_total)? ${by}$`, 'm'), text);
});
