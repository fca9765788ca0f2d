import assert from 'node:assert/strict';
import { setTimeout as sleep } from 'node:timers/promises';
import { After, Given, Then, When } from '@cucumber/cucumber';
import type { ForwardingEntry } from '@laburnumstream/forwarding';
import { Behaviours } from '@laburnumstream/standins';
import { eventually } from '../support/assertions.js';
import { EventLoopStalls } from '../support/eventLoopStalls.js';
import { sendRequest, deadlineMs } from '../support/platformCaller.js';
import type { CallerResponse } from '../support/platformCaller.js';
import { PlatformFleet, createConfiguration, lastingTimeoutMs } from '../support/platformFleet.js';

interface PlatformWorld {
  platform: PlatformFleet;
  platformEntry: ForwardingEntry;
  response: CallerResponse;
  readiness: number;
  /** Time from the request to the end of its stream, without stalls of this process, in milliseconds. */
  streamMs: number;
}

/** Sends a request whose deadline cuts no stream, and measures how long it takes without stalls. */
async function sendLasting(world: PlatformWorld, path: string): Promise<void> {
  const stalls = new EventLoopStalls();
  const sentAt = performance.now();
  const headers = { 'laburnumstream-deadline-ms': String(lastingTimeoutMs) };
  const response = await sendRequest(world.platform, path, { headers });
  Object.assign(world, { response, streamMs: performance.now() - sentAt - stalls.end() });
}

Given(
  /^an entry on the platform with engines that (.+)$/,
  async function start(this: PlatformWorld, names: string) {
    const behaviours = names.split(', ').map((name) => Behaviours[name as keyof typeof Behaviours]);
    this.platform = await PlatformFleet.start(behaviours);
    this.platformEntry = await this.platform.startEntry();
    await eventually(() => {
      const registrations = this.platform.logEntries.filter(
        ({ message }) => message === 'fleet: Endpoint registered.',
      );
      return registrations.length === behaviours.length;
    }, 'all engines are registered');
  },
);

After(async function close(this: Partial<PlatformWorld>) {
  await this.platform?.close();
});

When(
  /^a caller waits for a stream of (\w+)$/,
  async function wait(this: PlatformWorld, name: string) {
    await sendLasting(this, `/${name}/x`);
  },
);

When(/^a caller sends a request to (\w+)$/, async function send(this: PlatformWorld, name: string) {
  this.response = await sendRequest(this.platform, `/${name}/x`);
});

Then(
  /^it gets (\d+) and (any|\d+) runs of it were begun$/,
  function outcome(this: PlatformWorld, status: string, runs: string) {
    assert.equal(this.response.status, Number(status), JSON.stringify(this.platform.logEntries));
    const startedRequests = this.platform.engines.flatMap(
      ({ startedRequestIds }) => startedRequestIds,
    );
    if (runs !== 'any') assert.equal(startedRequests.length, Number(runs));
    if (status === '200') {
      assert.equal(this.response.body, 'whole answer');
      assert.match(String(this.response.headers['laburnumstream-server-seal']), /^seal\./);
    }
    if (status === '503') assert.ok(Number(this.response.headers['retry-after']) > 0);
  },
);

Then(
  'the engine learned the workspace and the time left and not the key',
  function told(this: PlatformWorld) {
    const [headers] = this.platform.engines[0]!.receivedHeaders;
    assert.equal(headers!['laburnumstream-tenant'], 'small');
    assert.equal(headers!.authorization, undefined);
    assert.equal(headers!['laburnumstream-expect-instance'], 'e0');
    const remainingMs = Number(headers!['laburnumstream-deadline-ms']);
    assert.ok(
      remainingMs > deadlineMs / 2 && remainingMs <= deadlineMs,
      `${remainingMs} ms remaining`,
    );
  },
);

When(
  /^a caller sends a request to (\w+) with its key in 3 ways of writing$/,
  async function sendKeys(this: PlatformWorld, route: string) {
    const names = ['authorization', 'Authorization', 'AUTHORIZATION'];
    await Promise.all(
      names.map((name) =>
        sendRequest(this.platform, `/${route}/x`, { headers: { [name]: 'Bearer key-1' } }),
      ),
    );
  },
);

Then('no engine has seen the key', function unseen(this: PlatformWorld) {
  const received = this.platform.engines.flatMap(({ receivedHeaders }) => receivedHeaders);
  assert.ok(received.length > 0, 'no engine got a request');
  received.forEach((headers) => assert.ok(!JSON.stringify(headers).includes('key-1')));
});

Then(
  'a request with another key gets 401 and one to another path gets 404',
  async function unknown(this: PlatformWorld) {
    assert.equal((await sendRequest(this.platform, '/safe/x', { key: 'other' })).status, 401);
    assert.equal((await sendRequest(this.platform, '/other/x')).status, 404);
  },
);

When('the store falls silent for 3 seconds', async function silence(this: PlatformWorld) {
  this.platform.store.isSilent = true;
  await sleep(3_000);
});

Then(
  'a request with a key gets 503 and none was begun',
  async function refused(this: PlatformWorld) {
    assert.equal((await sendRequest(this.platform, '/safe/x')).status, 503);
    assert.equal((await sendRequest(this.platform, '/safe/x', { key: 'other' })).status, 503);
    assert.deepEqual(this.platform.engines[0]!.startedRequestIds, []);
  },
);

When('operators take the key away', function revoke(this: PlatformWorld) {
  this.platform.store.write('op/config', createConfiguration(4, ['key-2']));
});

Then('a request with a key gets 401 within 1 second', async function gone(this: PlatformWorld) {
  const isRefused = async (): Promise<boolean> =>
    (await sendRequest(this.platform, '/safe/x')).status === 401;
  await eventually(isRefused, 'the key is refused', 1_000);
  assert.equal((await sendRequest(this.platform, '/safe/x', { key: 'key-2' })).status, 200);
});

Then('it gets events 1 to 12 once each', function events(this: PlatformWorld) {
  const eventIds = [...this.response.body.matchAll(/^id: (\d+)$/gm)].map(([, id]) => Number(id));
  assert.deepEqual(
    eventIds,
    Array.from({ length: 12 }, (_, index) => index + 1),
  );
  assert.ok(this.response.isWhole, 'the response is complete');
  assert.ok(this.streamMs <= deadlineMs, `the stream took ${Math.round(this.streamMs)} ms`);
});

When(
  'a caller sends a request to safe and leaves after 200 ms',
  async function leave(this: PlatformWorld) {
    await assert.rejects(
      sendRequest(this.platform, '/safe/x', { signal: AbortSignal.timeout(200) }),
    );
  },
);

Then('the engine is rid of it within 500 ms', async function rid(this: PlatformWorld) {
  const { engines } = this.platform;
  await eventually(
    () => engines[0]!.clientDisconnects === 1,
    'the engine sees its client disconnect',
    500,
  );
});

When('the first engine says that it is draining', async function drain(this: PlatformWorld) {
  this.platform.registerEngine(this.platform.engines[0]!, 'draining');
  await eventually(
    () => this.platform.logEntries.some(({ fields }) => fields.isDraining === true),
    'the entry has logged that the engine is draining',
  );
});

Then(
  'only the second engine gets the next 20 requests',
  async function second(this: PlatformWorld) {
    for (let sent = 0; sent < 20; sent += 1) await sendRequest(this.platform, '/safe/x');
    assert.deepEqual(this.platform.engines[0]!.startedRequestIds, []);
    assert.equal(this.platform.engines[1]!.startedRequestIds.length, 20);
  },
);

When('the entry is stopped while a stream runs', async function stop(this: PlatformWorld) {
  const stream = sendLasting(this, '/lasting/x');
  await sleep(150);
  const stopped = this.platformEntry.stop();
  const { status } = await fetch(`http://${this.platform.settings.readinessAddress}/`);
  this.readiness = status;
  await stream;
  await stopped;
});

Then('the entry said that it is not ready', function notReady(this: PlatformWorld) {
  assert.equal(this.readiness, 503);
});
