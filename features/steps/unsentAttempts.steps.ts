import assert from 'node:assert/strict';
import { once } from 'node:events';
import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { Behaviours } from '@laburnumstream/standins';
import { eventually } from '../support/assertions.js';
import { sendRequest } from '../support/platformCaller.js';
import { PlatformFleet } from '../support/platformFleet.js';
import { StoppableEngine } from '../support/stoppableEngine.js';

interface UnsentWorld {
  unsentFleet: PlatformFleet;
  deafEngine: StoppableEngine;
  fillers: Socket[];
  /** Statuses by request id. */
  statuses: Map<string, number>;
}

/** Connections that a stopped process on Linux accepts with the default backlog, and a few more. */
const fillerCount = 520;
const idHeader = 'laburnumstream-request-id';
const deadlineHeader = 'laburnumstream-deadline-ms';
/** Time between two requests, so that none finds another one's failure. */
const intervalMs = 5;

After(async function close(this: Partial<UnsentWorld>) {
  this.fillers?.forEach((socket) => socket.destroy());
  this.deafEngine?.close();
  await this.unsentFleet?.close();
});

Given(
  'an entry with an engine that gives no answer and one that accepts no connections',
  async function start(this: UnsentWorld) {
    this.unsentFleet = await PlatformFleet.start([Behaviours.hangs]);
    this.deafEngine = await StoppableEngine.start('deaf');
    const [host, port] = this.deafEngine.address.split(':');
    this.deafEngine.stop();
    this.fillers = Array.from({ length: fillerCount }, () =>
      connect({ host: host!, port: Number(port) }).on('error', () => undefined),
    );
    await Promise.race([once(this.fillers[0]!, 'connect'), sleep(1_000)]);
    await sleep(200);
    assert.ok(
      this.fillers.some(({ connecting }) => connecting),
      'it accepts all connections',
    );
    this.unsentFleet.registerEngine(this.deafEngine, 'ready');
    await this.unsentFleet.startEntry();
    const isReady = (): boolean =>
      this.unsentFleet.logEntries.some(({ fields }) => fields.endpoint === 'deaf');
    await eventually(isReady, 'the entry knows both engines');
  },
);

When(
  /^(\d+) (safe|stream) requests with a deadline of (\d+) ms are sent$/,
  async function send(this: UnsentWorld, count: string, kind: string, ms: string) {
    this.statuses = new Map();
    const sent = Array.from({ length: Number(count) }, async (_, index) => {
      await sleep(index * intervalMs);
      const id = `unsent-${index}`;
      const headers = { [idHeader]: id, [deadlineHeader]: ms };
      const { status } = await sendRequest(this.unsentFleet, `/${kind}/${id}`, { headers });
      this.statuses.set(id, status);
    });
    await Promise.all(sent);
  },
);

Then('some of them have run, and none of these is refused', function ran(this: UnsentWorld) {
  const ids = this.unsentFleet.engines[0]!.startedRequestIds;
  assert.ok(ids.length > 0);
  const refused = ids.filter((id) => this.statuses.get(id) === 503);
  assert.deepEqual(refused, [], `${refused.length} of ${ids.length} that ran are refused`);
});
