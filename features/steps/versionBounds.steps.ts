import assert from 'node:assert/strict';
import { setTimeout as sleep } from 'node:timers/promises';
import { After, Given, Then, When, World } from '@cucumber/cucumber';
import { VersionFleet, versionMs } from '../support/versionFleet.js';

interface VersionWorld extends World {
  versionFleet: VersionFleet;
}

/** Time after the end of a version's use in which a late begin would be seen, in milliseconds. */
const observedMs = 1_500;

/** Blocks this process, as a pause of an entry's process does. */
function block(ms: number): void {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT)), 0, 0, ms);
}

Given(
  'an entry and an engine on version 1',
  { timeout: 20_000 },
  async function start(this: VersionWorld) {
    this.versionFleet = await VersionFleet.start();
  },
);

Given(
  /^requests wait (\d+) ms in the queue of the engine$/,
  function queue(this: VersionWorld, ms: string) {
    this.versionFleet.engine.queueMs = Number(ms);
  },
);

After(async function close(this: Partial<VersionWorld>) {
  await this.versionFleet?.close();
});

When(
  /^version 2 is named and a (\w+) request is sent (\d+) ms after$/,
  async function send(this: VersionWorld, kind: string, ms: string) {
    this.versionFleet.nameNext();
    await sleep(Number(ms));
    void this.versionFleet.send(kind).catch(() => undefined);
  },
);

When(
  /^version 2 is named, the engine stands still from (\d+) to (\d+) ms after and a (\w+) request is sent$/,
  async function still(this: VersionWorld, from: string, to: string, kind: string) {
    const { versionFleet } = this;
    versionFleet.nameNext();
    await sleep(Number(from));
    void versionFleet.standStill(Number(to) - Number(from));
    void versionFleet.send(kind).catch(() => undefined);
  },
);

When(
  /^version 2 is named and the entry is suspended for (\d+) ms (\d+) ms after$/,
  async function suspend(this: VersionWorld, forMs: string, afterMs: string) {
    this.versionFleet.nameNext();
    if (Number(afterMs) > 0) await sleep(Number(afterMs));
    this.versionFleet.suspend(Number(forMs));
  },
);

When(
  /^a (\w+) request is sent each 100 ms for (\d+) ms$/,
  async function sendAll(this: VersionWorld, kind: string, forMs: string) {
    await this.versionFleet.sendAll(kind, Number(forMs));
  },
);

When(
  /^version 2 is named, a (\w+) request is placed (\d+) ms after and the entry stands still for (\d+) ms$/,
  async function standStill(this: VersionWorld, kind: string, ms: string, forMs: string) {
    const { versionFleet } = this;
    versionFleet.nameNext();
    await sleep(Number(ms));
    versionFleet.onLine = (message): void => {
      if (message !== 'line: Request placed.') return;
      versionFleet.onLine = () => undefined;
      block(Number(forMs));
    };
    void versionFleet.send(kind).catch(() => undefined);
  },
);

Then(
  'the engine begins nothing after the time of version 1',
  { timeout: 20_000 },
  async function late(this: VersionWorld) {
    const { versionFleet } = this;
    const { engine } = versionFleet;
    const observedUntil = versionFleet.namedAt + versionMs + observedMs;
    await sleep(Math.max(0, observedUntil - performance.now()));
    const sentAges = engine.arrivals.map((record) => Math.round(versionFleet.ageOf(record)));
    const lateAges = versionFleet.begunLate.map((record) => Math.round(versionFleet.ageOf(record)));
    const seen = `arrived at ${sentAges.join()} ms, begun late at ${lateAges.join()} ms`;
    this.log(seen);
    assert.equal(lateAges.length, 0, seen);
  },
);
