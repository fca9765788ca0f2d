import assert from 'node:assert/strict';
import { After, Given, Then, When } from '@cucumber/cucumber';
import {
  PlatformEngine,
  PlatformStore,
  buildHeaders,
  respondWith,
  streamEvents,
} from '@laburnumstream/standins';
import type { Behaviour } from '@laburnumstream/standins';
import { eventually } from '../support/assertions.js';
import { CallerCrowd } from '../support/callerCrowd.js';
import { LimitedEntry } from '../support/limitedEntry.js';
import { findPieces } from '../support/smallPieces.js';
import { sendRequest } from '../support/platformCaller.js';
import { createConfiguration, firstStart } from '../support/platformFleet.js';

interface CallerLimitsWorld {
  limitStore: PlatformStore;
  limitEngine: PlatformEngine;
  limitedEntry: LimitedEntry;
  crowd: CallerCrowd;
  limits: { readonly memoryBytes: number; readonly descriptors: number };
}

const bytesPerMegabyte = 1_000_000;
/** Time in which the program must have answered an ordinary request once, in milliseconds. */
const answerMs = 30_000;
const largeBytes = 900_000;
const engineSlots = 64;
const largeEvents = 12;

const answerLarge = respondWith('x'.repeat(largeBytes));
const streamSmall = streamEvents(largeEvents);
const largeEvent = `data: ${'x'.repeat(largeBytes / largeEvents)}\n\n`;

const streamLarge: Behaviour = (request, response, engine) => {
  response.writeHead(200, {
    ...buildHeaders(request, engine),
    'content-type': 'text/event-stream',
  });
  for (let id = 1; id <= largeEvents; id += 1) response.write(`id: ${id}\n${largeEvent}`);
  response.end();
};

/** Answers by the path of the request. */
const behave: Behaviour = (request, response, engine) => {
  const { url = '' } = request;
  request.resume();
  const sendPieces = findPieces(url);
  if (sendPieces) return sendPieces(request, response, engine);
  if (url.startsWith('/stream/large')) return streamLarge(request, response, engine);
  if (url.startsWith('/stream/')) return streamSmall(request, response, engine);
  if (url.endsWith('/large')) return answerLarge(request, response, engine);
  return respondWith('whole answer')(request, response, engine);
};

After(function close(this: Partial<CallerLimitsWorld>) {
  this.crowd?.close();
  this.limitedEntry?.close();
  this.limitEngine?.close();
  this.limitStore?.close();
});

Given(
  'an entry program with {int} MB of memory and {int} descriptors',
  async function start(this: CallerLimitsWorld, megabytes: number, descriptors: number) {
    this.limits = { memoryBytes: megabytes * bytesPerMegabyte, descriptors };
    this.limitStore = await PlatformStore.start();
    this.limitEngine = await PlatformEngine.start('e0', behave);
    this.limitStore.write('op/config', createConfiguration(1, ['key-1']));
    this.limitStore.write('servers/e0', {
      Service: 'desk',
      Address: this.limitEngine.address,
      Zone: 'a',
      Slots: engineSlots,
      State: 'ready',
      born: firstStart,
    });
    this.limitedEntry = await LimitedEntry.start(this.limitStore.address, {
      'Limits.MemoryMb': String(megabytes),
      'Limits.MaxFds': String(descriptors),
    });
    await eventually(() => this.limitedEntry.isReady(), 'the entry is ready');
  },
);

When(
  /^(\d+) connections are held by (.+)$/,
  { timeout: 30_000 },
  async function crowd(this: CallerLimitsWorld, connections: string, name: string) {
    this.crowd = new CallerCrowd(this.limitedEntry, name);
    await this.crowd.run(Number(connections));
  },
);

Then(
  'the program runs within its memory and descriptors',
  function within(this: CallerLimitsWorld) {
    const { isAlive, rssBytes, descriptors, errors } = this.limitedEntry.use;
    assert.ok(isAlive, `The process has ended: ${errors}`);
    const { memoryBytes } = this.limits;
    assert.ok(rssBytes <= memoryBytes, `${rssBytes} bytes are resident, ${memoryBytes} allowed`);
    assert.ok(descriptors <= this.limits.descriptors, `${descriptors} descriptors are open`);
  },
);

Then(
  'an ordinary request is answered',
  { timeout: answerMs + 5_000 },
  async function answered(this: CallerLimitsWorld) {
    const { callerAddress } = this.limitedEntry;
    const destination = { settings: { callerAddress } };
    const isAnswered = async (): Promise<boolean> => {
      const signal = AbortSignal.timeout(answerMs);
      const sent = sendRequest(destination, '/safe/ordinary', { signal });
      return sent.then(
        ({ status }) => status === 200,
        () => false,
      );
    };
    await eventually(isAnswered, 'an ordinary request is answered', answerMs);
    assert.ok(this.limitedEntry.isAlive, this.limitedEntry.use.errors);
  },
);
