import assert from 'node:assert/strict';
import { once } from 'node:events';
import { setTimeout as sleep } from 'node:timers/promises';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { PlannedStop, stopRetryDelayMs } from '@laburnumstream/decisions';
import type { ForwardingEntry } from '@laburnumstream/forwarding';
import fc from 'fast-check';
import type { PlatformFleet } from '../support/platformFleet.js';
import { runCallers } from '../support/rollingCallers.js';
import type { RolledRequest } from '../support/rollingCallers.js';
import { RollingFleet } from '../support/rollingFleet.js';
import { createRequestText, openSocket } from '../support/stopCaller.js';
import type { StopFleet } from '../support/stopFleet.js';

interface StopPartsWorld {
  stopFleet: StopFleet;
  /** What each caller has received that sent a long body. */
  receivedTexts: string[];
  platform: PlatformFleet;
  platformEntry: ForwardingEntry;
  rollingFleet: RollingFleet;
  rolled: readonly RolledRequest[];
  exitCodes: readonly (number | null)[];
}

const msPerSecond = 1_000;
/** Time between the signal and its handling, in milliseconds. */
const signalSlackMs = 100;
/** Deadline beyond any grace time that is used here, in milliseconds. */
const farMs = 12_000;
/** A body that is still under way when the request has been refused. */
const partBytes = 20_000;
const parts = 40;
const partIntervalMs = 5;

/** Sends a request with a long body in parts and reads only then; returns what was received. */
async function sendLongBody(fleet: StopFleet, id: string): Promise<string> {
  const socket = openSocket(fleet).setEncoding('utf8').pause();
  let text = '';
  socket.on('data', (part: string) => {
    text += part;
  });
  socket.write(createRequestText(id, { deadlineMs: farMs, bodyBytes: partBytes * parts }));
  for (let sent = 0; sent < parts && !socket.destroyed; sent += 1) {
    socket.write(Buffer.alloc(partBytes));
    await sleep(partIntervalMs);
  }
  const closed = once(socket, 'close');
  socket.resume();
  if (!socket.destroyed) await closed;
  return text;
}

When(
  /^it is stopped and (\d+) callers send long bodies and read nothing meanwhile$/,
  async function bodies(this: StopPartsWorld, count: string) {
    const { stopFleet: fleet } = this;
    fleet.stop();
    await sleep(signalSlackMs);
    const sent = Array.from({ length: Number(count) }, (_, index) =>
      sendLongBody(fleet, `long-${index}`),
    );
    this.receivedTexts = await Promise.all(sent);
  },
);

Then('each of them has received the refusal', function received(this: StopPartsWorld) {
  const lost = this.receivedTexts.filter((text) => !text.startsWith('HTTP/1.1 503'));
  assert.equal(lost.length, 0, `${lost.length} of ${this.receivedTexts.length} got none`);
});

When(
  /^the entry is stopped with (\d+) seconds of grace$/,
  async function stop(this: StopPartsWorld, graceS: string) {
    const { settings } = this.platform;
    const shutdownMs = Number(graceS) * msPerSecond;
    Object.assign(settings, { bounds: { ...settings.bounds, shutdownMs } });
    // The next renewal of its lease falls into the stop.
    await sleep(msPerSecond);
    await this.platformEntry.stop();
  },
);

Then('it has not registered again', function registeredOnce(this: StopPartsWorld) {
  const registered = this.platform.logEntries.filter(
    ({ message }) => message === 'registration: Registered.',
  );
  assert.equal(registered.length, 1);
});

Then('the times of any planned stop are in order, and no request outlasts them', () => {
  const startedAt = fc.double({ min: 0, max: 1e9, noNaN: true });
  const shutdownMs = fc.integer({ min: 100, max: 600_000 });
  const deadlineMs = fc.integer({ min: 0, max: 600_000 });
  const property = fc.property(startedAt, shutdownMs, deadlineMs, (start, limitMs, leftMs) => {
    const plan = new PlannedStop(start, limitMs);
    const { idleClosedAt, earliestEndAt, answersBy, latestEndAt } = plan;
    const inOrder = [start, idleClosedAt, earliestEndAt, answersBy, latestEndAt, start + limitMs];
    assert.deepEqual(
      inOrder,
      [...inOrder].sort((a, b) => a - b),
    );
    assert.ok(latestEndAt < start + limitMs && answersBy < latestEndAt);
    assert.equal(plan.mayPassOn(start + leftMs), start + leftMs <= answersBy);
  });
  fc.assert(property);
  assert.ok(stopRetryDelayMs(0) > 0 && stopRetryDelayMs(1) <= 100);
});

After(function close(this: Partial<StopPartsWorld>) {
  this.rollingFleet?.close();
});

Given(
  /^(\d+) entry programs behind a load balancer$/,
  async function start(this: StopPartsWorld, count: string) {
    this.rollingFleet = await RollingFleet.start(Number(count));
  },
);

When(
  /^they are restarted one after the other under (\d+) callers$/,
  async function restart(this: StopPartsWorld, count: string) {
    const { rollingFleet: fleet } = this;
    const ended = new AbortController();
    const callers = runCallers(fleet, Number(count), ended.signal);
    this.exitCodes = await fleet.restartAll();
    ended.abort();
    this.rolled = await callers;
  },
);

Then('each of them has ended with exit code 0', function exited(this: StopPartsWorld) {
  assert.deepEqual(
    this.exitCodes,
    this.exitCodes.map(() => 0),
  );
});

Then(
  'each request of the callers is served, at another entry where it was refused',
  function served(this: StopPartsWorld) {
    assert.ok(this.rolled.length > 0);
    const lost = this.rolled
      .filter(({ isServed }) => !isServed)
      .map(({ attempts }) => attempts.map(({ id, status, error }) => `${id} ${status} ${error}`));
    assert.equal(lost.length, 0, `${lost.length} of ${this.rolled.length}: ${lost}`);
  },
);
