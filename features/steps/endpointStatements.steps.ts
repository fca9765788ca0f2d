import assert from 'node:assert/strict';
import { setTimeout as sleep } from 'node:timers/promises';
import { After, Given, Then, When } from '@cucumber/cucumber';
import type { PlatformEngine } from '@laburnumstream/standins';
import { eventually } from '../support/assertions.js';
import { sumMetric } from '../support/metricsText.js';
import { CrashFleet } from '../support/crashFleet.js';
import { PlatformFleet, firstStart, routeTimeoutMs } from '../support/platformFleet.js';
import { StatementTraffic } from '../support/statementTraffic.js';
import type { SentRequest } from '../support/statementTraffic.js';
import { first } from '../support/statementWorld.js';
import type { StatementWorld } from '../support/statementWorld.js';
import { StatingEndpoint } from '../support/statingEndpoint.js';

const requestsPerSecond = 40;
const calmMs = 500;
const msPerSecond = 1_000;
const leavingSlackMs = 500;
const observedMs = 2_000;
/** Shorter than the time for which keys are valid without the store. */
const leavingObservedMs = 1_500;
const relistMs = 250;
const burst = 24;
const maxWithinPause = 2;
/** Time between the response of an endpoint and its handling by an entry, in milliseconds. */
const transitMs = 40;
/** Time after which a request that can't be served in time has been refused, in milliseconds. */
const maxRefusalMs = 150;
/** Share of the time left that callers accept as a delay. */
const maxRetryDelayMs = Math.ceil(2_000 / 3);

async function startTraffic(
  world: StatementWorld,
  perSecond = requestsPerSecond,
  deadlineMs?: number,
): Promise<void> {
  const traffic = new StatementTraffic(world.targets, perSecond, deadlineMs);
  Object.assign(world, { traffic });
  await traffic.run(calmMs);
}

/** Registers the first endpoint anew after its registration was missing for some time. */
async function relist({ statedFleet: fleet }: StatementWorld): Promise<void> {
  const [engine] = fleet.engines;
  fleet.store.remove(`servers/${engine!.id}`);
  await sleep(relistMs);
  fleet.registerEngine(engine!, 'ready');
}

/** What happens while the first endpoint says that it leaves. */
const leavingTroubles: Readonly<Record<string, (world: StatementWorld) => Promise<void>>> = {
  'the store says that it is ready': async ({ statedFleet: fleet }) => {
    await sleep(relistMs);
    fleet.registerEngine(fleet.engines[0]!, 'ready');
  },
  'the store is silent': async ({ statedFleet: { store } }) => {
    Object.assign(store, { isSilent: true });
  },
  'the store is slow': async ({ statedFleet: { store } }) => {
    Object.assign(store, { delayMs: 700 });
  },
  'the list drops it and lists it again': relist,
  'the history of the store is lost as well': async (world) => {
    await relist(world);
    world.statedFleet.store.compact();
  },
  'its later responses say that it stays': async (world) => {
    await eventually(() => first(world).notices.length > 0, 'it has said that it leaves');
    first(world).leaving = '0';
  },
};

/** Registers another endpoint in place of the first, by what they have in common. */
const successors: Readonly<Record<string, (fleet: PlatformFleet) => void>> = {
  address: (fleet) => {
    const [{ id, address }] = fleet.engines as [PlatformEngine];
    fleet.store.remove(`servers/${id}`);
    fleet.registerEngine({ id: 'other', address }, 'ready');
  },
  id: (fleet) => fleet.registerEngine(fleet.engines[0]!, 'ready', firstStart + 1),
};

Given('an entry and 3 endpoints that make statements', async function start(this: StatementWorld) {
  this.endpoints = [0, 1, 2].map(() => new StatingEndpoint());
  this.statedFleet = await PlatformFleet.start(this.endpoints.map(({ behaviour }) => behaviour));
  await this.statedFleet.startEntry();
  const { instance, callerAddress } = this.statedFleet.settings;
  this.targets = [{ name: instance, callerAddress }];
  await eventually(() => {
    const isRegistration = ({ message }: { message: string }): boolean =>
      message === 'fleet: Endpoint registered.';
    return this.statedFleet.logEntries.filter(isRegistration).length === this.endpoints.length;
  }, 'all endpoints are registered');
});

Given(
  /^(\d+) entries and (\d+) endpoints that make statements$/,
  { timeout: 40_000 },
  async function start(this: StatementWorld, entries: string, endpoints: string) {
    this.crashFleet = await CrashFleet.start(Number(entries), Number(endpoints));
    this.endpoints = this.crashFleet.endpointIndices.map(() => new StatingEndpoint());
    this.endpoints.forEach(({ behaviour }, index) => this.crashFleet.scripts.set(index, behaviour));
    this.targets = this.crashFleet.entries;
  },
);

After(async function close(this: Partial<StatementWorld>) {
  await this.statedFleet?.close();
});

When(
  /^the first says that it leaves, and ((?!then ).+)$/,
  { timeout: 20_000 },
  async function leave(this: StatementWorld, trouble: string) {
    // Callers with clearly less time than their route allows are taken to retry, and are refused sooner.
    await startTraffic(this, requestsPerSecond, routeTimeoutMs);
    first(this).leaving = '1';
    const ending = leavingTroubles[trouble]!(this);
    await Promise.all([this.traffic.run(leavingObservedMs), ending]);
    await this.traffic.finish();
  },
);

When(
  'the first is registered anew while it has requests, and then responds that it leaves',
  { timeout: 20_000 },
  async function respond(this: StatementWorld) {
    await startTraffic(this);
    Object.assign(first(this), { leaving: '1', delayMs: 600 });
    await this.traffic.run(150);
    Object.assign(first(this), { leaving: undefined, delayMs: 0 });
    await Promise.all([this.traffic.run(observedMs), relist(this)]);
    await this.traffic.finish();
  },
);

When(
  /^the first says that it leaves, and then another one starts at its (\w+)$/,
  { timeout: 20_000 },
  async function succeed(this: StatementWorld, place: string) {
    await startTraffic(this);
    first(this).leaving = '1';
    await this.traffic.run(calmMs);
    first(this).leaving = undefined;
    successors[place]!(this.statedFleet);
    await this.traffic.run(calmMs);
    this.countedFrom = performance.now();
    await this.traffic.run(observedMs);
    await this.traffic.finish();
  },
);

When(
  /^the first asks for a pause of (\d+) seconds, and then another one starts at its id$/,
  { timeout: 20_000 },
  async function restart(this: StatementWorld, seconds: string) {
    await startTraffic(this);
    first(this).pause(Number(seconds) * msPerSecond);
    await this.traffic.run(calmMs);
    first(this).endPause();
    successors.id!(this.statedFleet);
    await this.traffic.run(calmMs);
    this.countedFrom = performance.now();
    await this.traffic.run(observedMs);
    await this.traffic.finish();
  },
);

When(
  'the first says to one entry that it leaves',
  { timeout: 20_000 },
  async function tell(this: StatementWorld) {
    await startTraffic(this);
    first(this).toldEntries = new Set([this.targets[0]!.name]);
    first(this).leaving = '1';
    await this.traffic.run(observedMs);
    await this.traffic.finish();
  },
);

When(
  /^all endpoints name a limit of (\d+) requests a second$/,
  function limit(this: StatementWorld, perSecond: string) {
    this.endpoints.forEach((endpoint) => Object.assign(endpoint, { limit: perSecond }));
  },
);

/** Values of `Retry-After` in later refusals, by their description; undefined names the time left. */
const laterPauses: Readonly<Record<string, string | undefined>> = {
  'and later for what is left of it': undefined,
  'and later for a shorter one': '0.3',
  'and later for a longer one': '3.5',
};

When(
  /^(\d+) endpoints ask for a pause of ([\d.]+) seconds, (.+)$/,
  { timeout: 30_000 },
  async function pause(this: StatementWorld, count: string, seconds: string, later: string) {
    await startTraffic(this);
    const pausing = this.endpoints.slice(0, Number(count));
    pausing.forEach((endpoint) => endpoint.pause(Number(seconds) * msPerSecond));
    for (let sent = 0; sent < burst; sent += 1) this.traffic.send();
    const asked = eventually(
      () => pausing.every(({ pauses }) => pauses.length > 0),
      'all have asked for a pause',
    ).then(() =>
      pausing.forEach((endpoint) => {
        Object.assign(endpoint, { retryAfter: laterPauses[later] });
      }),
    );
    await Promise.all([asked, this.traffic.run(Number(seconds) * msPerSecond)]);
    const lastEnd = Math.max(
      ...pausing.flatMap(({ pauses }) => pauses.map(({ at, pauseMs }) => at + pauseMs)),
    );
    await this.traffic.run(Math.max(0, lastEnd - performance.now()));
    this.pausedUntil = performance.now();
    await this.traffic.run(3_000);
    await this.traffic.finish();
  },
);

When(
  /^all ask for a pause of (\d+) milliseconds, and (\d+) more requests come$/,
  { timeout: 20_000 },
  async function pauseAll(this: StatementWorld, ms: string, count: string) {
    await startTraffic(this);
    await this.traffic.finish();
    this.endpoints.forEach((endpoint) => endpoint.pause(Number(ms)));
    this.pausedUntil = performance.now() + Number(ms);
    this.traffic.send();
    await eventually(
      () => this.endpoints.every(({ pauses }) => pauses.length > 0),
      'all have asked for a pause',
    );
    await sleep(transitMs);
    this.countedFrom = performance.now();
    for (let sent = 0; sent < Number(count); sent += 1) this.traffic.send();
    await this.traffic.finish();
  },
);

Then(
  'it gets no request that was sent later than half a second after that',
  function none(this: StatementWorld) {
    assert.ok(first(this).notices.length > 0, 'It has not said that it leaves.');
    const late = first(this).lateArrivals(leavingSlackMs);
    this.log(`${late.length} requests later than ${leavingSlackMs} ms after it`);
    assert.equal(late.length, 0, `${late.length} requests, e.g. ${JSON.stringify(late[0])}`);
  },
);

Then('all callers of the entry were served', function all(this: StatementWorld) {
  const failed = this.traffic.requests.filter(({ isServed }) => !isServed);
  assert.equal(failed.length, 0, JSON.stringify(failed[0]));
});

Then('it gets requests of the other entry', function other(this: StatementWorld) {
  const [told] = this.targets;
  const [{ at: toldAt } = { at: Infinity }] = first(this).notices;
  const arrivals = first(this).arrivals.filter(
    ({ entry, at }) => entry !== told!.name && at > toldAt + leavingSlackMs,
  );
  assert.ok(arrivals.length > 0, 'no requests of the other entry');
});

Then('the other one gets at least an eighth of the requests', function share(this: StatementWorld) {
  const sent = this.traffic.requests.filter(({ sentAt }) => sentAt > this.countedFrom).length;
  const found = first(this).arrivals.filter(({ at }) => at > this.countedFrom).length;
  this.log(`${found} of ${sent} requests`);
  assert.ok(found >= sent / 8, `${found} of ${sent} requests`);
});

Then(
  'no entry sends any of them more than 2 requests within a pause',
  function within(this: StatementWorld) {
    const found = this.endpoints.map((endpoint) => endpoint.maxWithinPause());
    const pauses = this.endpoints.reduce((sum, endpoint) => sum + endpoint.pauses.length, 0);
    this.log(`${found.join()} within one of ${pauses} pauses`);
    assert.ok(pauses > 0, 'No endpoint has asked for a pause.');
    assert.ok(Math.max(...found) <= maxWithinPause, `${found.join()} requests within a pause`);
  },
);

Then(
  /^(\d+) seconds after the pause at least nine tenths of the requests are served$/,
  function served(this: StatementWorld, seconds: string) {
    const { pausedUntil, traffic } = this;
    const from = pausedUntil + Number(seconds) * msPerSecond;
    const after = traffic.requests.filter(({ sentAt }) => sentAt >= from);
    const found = after.filter(({ isServed }) => isServed).length;
    this.log(`${found} of ${after.length} served`);
    assert.ok(found >= after.length * 0.9, `${found} of ${after.length} served`);
  },
);

Then(
  /^each gets at most (\d+) requests in any second after the pause$/,
  function bounded(this: StatementWorld, most: string) {
    const counts = this.endpoints.map(({ arrivals }) => {
      const times = arrivals.map(({ at }) => at).filter((at) => at >= this.pausedUntil);
      const inSecond = (from: number): number =>
        times.filter((at) => at >= from && at < from + msPerSecond).length;
      return Math.max(...times.map(inSecond));
    });
    this.log(`${counts.join()} in a second`);
    assert.ok(Math.max(...counts) <= Number(most), `${counts.join()} in a second`);
    assert.ok(Math.min(...counts) > 0, `${counts.join()} in a second`);
  },
);

function laterRequests({ traffic, countedFrom }: StatementWorld): SentRequest[] {
  return traffic.requests.filter(({ sentAt }) => sentAt >= countedFrom);
}

Then('all requests are refused within 150 milliseconds', function at(this: StatementWorld) {
  const requests = laterRequests(this);
  const slowest = Math.max(...requests.map(({ sentAt, endedAt }) => endedAt - sentAt));
  this.log(`slowest after ${slowest.toFixed(0)} ms`);
  assert.ok(
    requests.every(({ status }) => status === 503),
    JSON.stringify(requests[0]),
  );
  assert.ok(slowest <= maxRefusalMs, `slowest after ${slowest.toFixed(0)} ms`);
});

Then('their callers are asked to come back after the pause', function back(this: StatementWorld) {
  const delays = laterRequests(this).map(({ endedAt, retryAfterMs = 0 }) => {
    const leftMs = this.pausedUntil - endedAt;
    return { leftMs, retryAfterMs };
  });
  delays.forEach((delay) => {
    const { leftMs, retryAfterMs } = delay;
    assert.ok(retryAfterMs >= leftMs - transitMs, JSON.stringify(delay));
    assert.ok(retryAfterMs <= maxRetryDelayMs, JSON.stringify(delay));
  });
  const distinct = new Set(delays.map(({ retryAfterMs }) => retryAfterMs));
  assert.ok(distinct.size > delays.length / 2, `${distinct.size} different delays`);
});

Then(
  'at least two thirds of them are served after it, and the others are refused within 150 milliseconds',
  function later(this: StatementWorld) {
    const requests = laterRequests(this);
    const served = requests.filter(({ isServed }) => isServed).length;
    this.log(`${served} of ${requests.length} served`);
    assert.ok(served >= (requests.length * 2) / 3, `${served} of ${requests.length} served`);
    const lateRefusals = requests.filter(
      ({ isServed, sentAt, endedAt }) => !isServed && endedAt - sentAt > maxRefusalMs,
    );
    assert.equal(lateRefusals.length, 0, JSON.stringify(lateRefusals));
  },
);

Then(
  /^each endpoint gets at most (\d+) requests in the first (\d+) milliseconds after the pause$/,
  function atOnce(this: StatementWorld, most: string, ms: string) {
    const counts = this.endpoints.map(({ arrivals }) => {
      const afterPause = arrivals.filter(({ at }) => at >= this.pausedUntil);
      const [{ at: from } = { at: Infinity }] = afterPause;
      return afterPause.filter(({ at }) => at < from + Number(ms)).length;
    });
    this.log(counts.join());
    assert.ok(Math.max(...counts) > 0, 'No requests after the pause.');
    assert.ok(Math.max(...counts) <= Number(most), counts.join());
  },
);

When(
  /^the first refuses requests with the pause (\w+) for (\d+) milliseconds$/,
  { timeout: 20_000 },
  async function refuse(this: StatementWorld, retryAfter: string, ms: string) {
    await startTraffic(this);
    first(this).retryAfter = retryAfter;
    first(this).pause(Number(ms));
    await this.traffic.run(Number(ms) + calmMs);
    await this.traffic.finish();
  },
);

Then('it is logged once and counted', function logged(this: StatementWorld) {
  const { logEntries, metrics } = this.statedFleet;
  const lines = logEntries.filter(({ message }) => message.endsWith('unreadable statement.'));
  assert.deepEqual(
    lines.map(({ fields }) => fields),
    [{ endpoint: 'e0', kind: 'pause' }],
  );
  const count = sumMetric(metrics, 'endpoint_statements_unreadable_total', { kind: 'pause' });
  assert.equal(count, first(this).pauses.length);
});

Then('all endpoints can get requests', function again(this: StatementWorld) {
  assert.equal(sumMetric(this.statedFleet.metrics, 'endpoints', { state: 'free' }), 3);
});
