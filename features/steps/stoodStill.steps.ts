import assert from 'node:assert/strict';
import { setTimeout as sleep } from 'node:timers/promises';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { Behaviours } from '@laburnumstream/standins';
import { eventually } from '../support/assertions.js';
import { sendRequest } from '../support/platformCaller.js';
import { PlatformFleet } from '../support/platformFleet.js';
import { StoppableEngine } from '../support/stoppableEngine.js';

interface StoodStillWorld {
  platform: PlatformFleet;
  stoppable: StoppableEngine;
  /** Monotonic times at which callers left, by request id, in milliseconds. */
  departures: Map<string, number>;
  wokenAt: number;
}

/** Time after which a given-up request must not reach an engine any more, in milliseconds. */
const lateMs = 500;
/** Time within which a woken engine reads what lies there, in milliseconds. */
const readMs = 500;
/** Requests sent before the engine is stopped, so that connections to it are open. */
const warmUpRequests = 8;

const waysToGiveUp: Readonly<
  Record<string, (fleet: PlatformFleet, path: string) => Promise<void>>
> = {
  'leaves after 200 ms': (fleet, path) =>
    assert.rejects(sendRequest(fleet, path, { signal: AbortSignal.timeout(200) })),
  'waits in vain': async (fleet, path) => {
    assert.equal((await sendRequest(fleet, path)).status, 504);
  },
  'is served elsewhere': async (fleet, path) => {
    // The first of them may be placed on the engine that streams.
    const responses = await Promise.all([1, 2, 3, 4].map(() => sendRequest(fleet, path)));
    assert.deepEqual(
      responses.map(({ isWhole }) => isWhole),
      [true, true, true, true],
    );
  },
};

When(
  /^a caller of (\w+) (leaves after 200 ms|waits in vain|is served elsewhere)$/,
  async function giveUp(this: StoodStillWorld, route: string, way: string) {
    await waysToGiveUp[way]!(this.platform, `/${route}/x`);
  },
);

Then('an engine sees its connection reset', async function reset(this: StoodStillWorld) {
  const { engines } = this.platform;
  const isReset = (): boolean => engines.some(({ clientResets }) => clientResets > 0);
  await eventually(isReset, 'an engine sees a reset');
});

Given(
  'an entry on the platform with a stopped engine and one that streams',
  async function start(this: StoodStillWorld) {
    this.platform = await PlatformFleet.start([Behaviours.streams]);
    this.stoppable = await StoppableEngine.start('stoppable');
    this.platform.registerEngine(this.stoppable, 'ready');
    await this.platform.startEntry();
    await eventually(
      () =>
        this.platform.logEntries.filter(({ message }) => message === 'fleet: Endpoint registered.')
          .length === 2,
      'both engines are registered',
    );
    const paths = Array.from({ length: warmUpRequests }, () => '/stream/x');
    await Promise.all(paths.map((path) => sendRequest(this.platform, path)));
    assert.ok(this.stoppable.requestIds.length > 0, 'the stoppable engine is used');
    this.stoppable.stop();
  },
);

After(function close(this: Partial<StoodStillWorld>) {
  this.stoppable?.close();
});

When(
  /^callers send (\d+) requests a second for (\d+) seconds and leave after (\d+) ms$/,
  async function send(this: StoodStillWorld, perSecond: string, seconds: string, ms: string) {
    this.departures = new Map();
    const total = Number(perSecond) * Number(seconds);
    const callers: Promise<void>[] = [];
    for (let sent = 0; sent < total; sent += 1) {
      const id = `left${sent}`;
      const headers = { 'laburnumstream-request-id': id };
      const signal = AbortSignal.timeout(Number(ms));
      callers.push(
        sendRequest(this.platform, '/stream/x', { headers, signal }).then(
          () => undefined,
          () => {
            this.departures.set(id, performance.now());
          },
        ),
      );
      await sleep(1_000 / Number(perSecond));
    }
    await Promise.all(callers);
    await sleep(lateMs);
  },
);

When('the stopped engine is woken', async function wake(this: StoodStillWorld) {
  this.stoppable.requestIds.length = 0;
  this.wokenAt = performance.now();
  this.stoppable.wake();
  await sleep(readMs);
});

Then(
  /^at most (\d+) requests have reached it whose callers had left for half a second$/,
  function late(this: StoodStillWorld, most: string) {
    const { departures, stoppable, wokenAt } = this;
    const count = stoppable.requestIds.filter(
      (id) => (departures.get(id) ?? Infinity) + lateMs <= wokenAt,
    ).length;
    assert.ok(count <= Number(most), `${count} requests of ${departures.size} callers that left`);
  },
);
