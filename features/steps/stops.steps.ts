import assert from 'node:assert/strict';
import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { After, Then, When } from '@cucumber/cucumber';
import type { ForwardingEntry } from '@laburnumstream/forwarding';
import { eventually } from '../support/assertions.js';
import { sendRaw } from '../support/platformCaller.js';
import { platformHost } from '../support/platformFleet.js';
import type { PlatformFleet } from '../support/platformFleet.js';

interface StopsWorld {
  platform: PlatformFleet;
  platformEntry: ForwardingEntry;
  stopCaller: Socket;
  stopText: string;
  /** Fleet with an engine that sends long responses. */
  reviewedFleet: PlatformFleet;
  reviewedEntry: ForwardingEntry;
  /** Bodies consist of zero bytes, which no head contains. */
  bodyBytes: number;
  stopTimeMs: number;
  idleCaller: Socket;
  idleError: Error | undefined;
}

/** Idle connections are closed after half of this time, before the stream ends. */
const shutdownMs = 2_400;

/** Leaves time for a request that arrives after idle connections were closed, in milliseconds. */
const longShutdownMs = 8_000;

/** Time after the start of a stop at which its idle connections have been closed, in milliseconds. */
const idleClosedMs = 2_300;
const longBodyBytes = 16_000_000;

function countZeroBytes(chunk: Buffer): number {
  return chunk.reduce((sum, byte) => sum + (byte === 0 ? 1 : 0), 0);
}

async function measureStop(entry: ForwardingEntry): Promise<number> {
  const startedAt = performance.now();
  await entry.stop();
  return performance.now() - startedAt;
}

/** Sends a request whose response is not read and waits until the entry has handed it over. */
async function requestLongResponse(world: StopsWorld): Promise<void> {
  const { reviewedFleet: fleet } = world;
  const caller = sendRaw(fleet, 'POST /unsafe/x HTTP/1.1', ['Content-Length: 0'], '');
  Object.assign(world, { bodyBytes: 0, stopCaller: caller });
  caller.pause();
  await eventually(
    () => fleet.logEntries.some(({ message }) => message.endsWith('Request answered.')),
    'the answer is under way',
  );
}

function readOn(world: StopsWorld): void {
  world.stopCaller.on('data', (chunk: Buffer) => {
    Object.assign(world, { bodyBytes: world.bodyBytes + countZeroBytes(chunk) });
  });
  world.stopCaller.resume();
}

function createRequestText(id: string): string {
  return [
    'POST /stream/x HTTP/1.1',
    `host: ${platformHost}`,
    'authorization: Bearer key-1',
    `laburnumstream-request-id: ${id}`,
    'content-length: 4',
    '',
    'body',
  ].join('\r\n');
}

After(function close(this: Partial<StopsWorld>) {
  this.stopCaller?.destroy();
  this.idleCaller?.destroy();
});

When(
  'the entry stops and closes idle connections before a stream has ended',
  async function stop(this: StopsWorld) {
    const { settings } = this.platform;
    Object.assign(settings, { bounds: { ...settings.bounds, shutdownMs } });
    const [host, port] = settings.callerAddress.split(':');
    this.stopText = '';
    this.stopCaller = connect({ host: host!, port: Number(port) });
    this.stopCaller.setEncoding('utf8');
    this.stopCaller.on('data', (text: string) => {
      this.stopText += text;
    });
    this.stopCaller.on('error', () => undefined);
    this.stopCaller.write(createRequestText('long'));
    await sleep(150);
    await this.platformEntry.stop();
    await eventually(() => this.stopText.endsWith('0\r\n\r\n'), 'the stream has ended');
  },
);

Then('the stream is whole', function whole(this: StopsWorld) {
  const eventIds = [...this.stopText.matchAll(/^id: (\d+)$/gm)].map(([, id]) => Number(id));
  assert.deepEqual(
    eventIds,
    Array.from({ length: 12 }, (_, index) => index + 1),
  );
});

Then('its connection takes no further request', async function closed(this: StopsWorld) {
  await sleep(200);
  this.stopCaller.write(createRequestText('late'));
  await sleep(300);
  const startedIds = this.platform.engines.flatMap((engine) => engine.startedRequestIds);
  assert.deepEqual(startedIds, ['long']);
});

When(
  'the entry stops and its caller reads on after idle connections are closed',
  async function slow(this: StopsWorld) {
    await requestLongResponse(this);
    const stopped = measureStop(this.reviewedEntry);
    await sleep(idleClosedMs);
    readOn(this);
    this.stopTimeMs = await stopped;
  },
);

When(
  'the entry stops and its caller reads on and has sent a further request',
  async function further(this: StopsWorld) {
    await requestLongResponse(this);
    const { settings } = this.reviewedFleet;
    Object.assign(settings, { bounds: { ...settings.bounds, shutdownMs: longShutdownMs } });
    const stopped = measureStop(this.reviewedEntry);
    await sleep(idleClosedMs);
    const request = createRequestText('further').replace('/stream/', '/unsafe/');
    this.stopCaller.write(request);
    readOn(this);
    this.stopTimeMs = await stopped;
  },
);

When('the entry stops and its caller never reads', async function never(this: StopsWorld) {
  await requestLongResponse(this);
  this.stopTimeMs = await measureStop(this.reviewedEntry);
});

Then('the caller has {int} whole answer(s)', async function answers(this: StopsWorld, n: number) {
  await eventually(() => this.bodyBytes >= n * longBodyBytes, `${n} answers have arrived`);
  assert.equal(this.bodyBytes, n * longBodyBytes);
});

Then('the stop has waited for it', function waited(this: StopsWorld) {
  assert.ok(this.stopTimeMs >= idleClosedMs, `the stop took ${this.stopTimeMs} ms`);
});

Then('the stop ends within the shutdown time', function ends(this: StopsWorld) {
  const { shutdownMs: limitMs } = this.reviewedFleet.settings.bounds;
  assert.ok(this.stopTimeMs >= idleClosedMs, `the stop took ${this.stopTimeMs} ms`);
  assert.ok(this.stopTimeMs < limitMs, `the stop took ${this.stopTimeMs} ms`);
});

When(
  'the entry stops with an idle connection and one with half a request',
  async function idle(this: StopsWorld) {
    const [host, port] = this.platform.settings.callerAddress.split(':');
    const open = async (id: string): Promise<Socket> => {
      const socket = connect({ host: host!, port: Number(port) });
      socket.setEncoding('utf8');
      let text = '';
      socket.on('data', (part: string) => {
        text += part;
      });
      socket.write(createRequestText(id));
      await eventually(() => text.endsWith('0\r\n\r\n'), 'the first request is answered');
      return socket;
    };
    this.idleCaller = await open('first');
    this.stopCaller = await open('second');
    this.idleCaller.on('error', (error) => {
      this.idleError = error;
    });
    this.stopText = '';
    this.stopCaller.on('error', () => undefined);
    this.stopCaller.on('data', (text: string) => {
      this.stopText += text;
    });
    const { settings } = this.platform;
    Object.assign(settings, { bounds: { ...settings.bounds, shutdownMs: longShutdownMs } });
    const stopped = this.platformEntry.stop();
    await sleep(500);
    this.stopCaller.write(createRequestText('half').slice(0, 40));
    await eventually(() => this.idleCaller.closed, 'the idle connection is closed');
    this.stopCaller.write(createRequestText('half').slice(40));
    await stopped;
  },
);

Then('the idle connection is closed without an error', async function idle(this: StopsWorld) {
  await eventually(() => this.idleCaller.closed, 'the idle connection is closed');
  assert.equal(this.idleError, undefined);
});

Then('the half request is served when its rest arrives', async function half(this: StopsWorld) {
  await eventually(() => this.stopText.endsWith('0\r\n\r\n'), 'the request is answered');
  assert.match(this.stopText, /^connection: close$/im);
});
