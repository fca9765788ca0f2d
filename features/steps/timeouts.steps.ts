import assert from 'node:assert/strict';
import { createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { After, Given, Then } from '@cucumber/cucumber';
import { createTimeoutSignal } from '@laburnumstream/common';
import { EngineClient, StoreClient } from '@laburnumstream/platform';
import { HistogramMetrics, SystemClock } from '@laburnumstream/runtime';
import { EngineMonitor } from '@laburnumstream/sidecar';
import { collectGarbage } from '../support/heap.js';

interface TimeoutsWorld {
  silent: Server;
  silentSockets: Set<Socket>;
}

const signalCount = 50;
const limitMs = 200;
const collectGapMs = 20;

/**
 * Whether work ends within a time, during which garbage is collected repeatedly: it must not reclaim
 * abort signals that are still waited for.
 */
async function endsWithin(work: Promise<unknown>, withinMs: number): Promise<boolean> {
  let hasEnded = false;
  const end = (): void => {
    hasEnded = true;
  };
  work.then(end, end);
  const until = performance.now() + withinMs;
  while (!hasEnded && performance.now() < until) {
    await sleep(collectGapMs);
    collectGarbage();
  }
  return hasEnded;
}

function getAddress(server: Server): string {
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

function waitForAbort(signal: AbortSignal): Promise<void> {
  return new Promise((resolve) => {
    signal.addEventListener('abort', () => resolve());
  });
}

Given(
  'a server that takes connections and never answers',
  async function start(this: TimeoutsWorld) {
    this.silentSockets = new Set();
    this.silent = createServer((socket) => {
      socket.on('error', () => undefined);
      this.silentSockets.add(socket);
    });
    await new Promise<void>((resolve) => {
      this.silent.listen(0, '127.0.0.1', () => resolve());
    });
  },
);

After(function close(this: Partial<TimeoutsWorld>) {
  this.silentSockets?.forEach((socket) => socket.destroy());
  this.silent?.close();
});

Then(
  '50 signals with a timeout of 200 ms and an owner fire although memory is collected',
  async () => {
    const owner = new AbortController();
    const all = Array.from({ length: signalCount }, () =>
      waitForAbort(createTimeoutSignal(limitMs, owner.signal)),
    );
    assert.ok(await endsWithin(Promise.all(all), 2_000), 'not all signals aborted');
  },
);

Then(
  'a call to it as an engine fails within 4 seconds although memory is collected',
  async function call(this: TimeoutsWorld) {
    const owner = new AbortController();
    const client = new EngineClient(getAddress(this.silent));
    assert.ok(await endsWithin(client.getState(owner.signal), 4_000), 'the call is still waiting');
  },
);

Then(
  'the watch of it as an engine ends a question within 2 seconds although memory is collected',
  async function watch(this: TimeoutsWorld) {
    const quiet = () => undefined;
    const log = { debug: quiet, info: quiet, warn: quiet, error: quiet };
    const engine = new EngineClient(getAddress(this.silent));
    const metrics = new HistogramMetrics();
    const watching = new EngineMonitor(engine, new SystemClock(), metrics, log, quiet);
    const owner = new AbortController();
    assert.ok(
      await endsWithin(watching.poll(owner.signal), 2_000),
      'the question is still waiting',
    );
  },
);

Then(
  'a call to it as the store fails within 3 seconds although memory is collected',
  async function call(this: TimeoutsWorld) {
    const owner = new AbortController();
    const client = new StoreClient(getAddress(this.silent));
    assert.ok(
      await endsWithin(client.snapshot('', owner.signal), 3_000),
      'the call is still waiting',
    );
  },
);
