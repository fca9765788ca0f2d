import assert from 'node:assert/strict';
import { setTimeout as sleep } from 'node:timers/promises';
import { After, Given, Then, When, World } from '@cucumber/cucumber';
import type { ForwardingEntry } from '@laburnumstream/forwarding';
import { eventually } from '../support/assertions.js';
import { BegunFleet, breakOff, eventCount } from '../support/begunFleet.js';
import type { Arrival } from '../support/begunFleet.js';
import { begunTroubles } from '../support/begunTroubles.js';
import {
  fullEndpoints,
  fullOptions,
  fullPeriods,
  sendThroughPeriods,
  streamDeadlineMs,
} from '../support/fullPeriods.js';
import { sumMetric } from '../support/metricsText.js';
import { deadlineMs } from '../support/platformCaller.js';
import type { CallerResponse } from '../support/platformCaller.js';

interface BegunWorld extends World {
  begunFleet: BegunFleet;
  begunEntry: ForwardingEntry;
  streams: CallerResponse[];
  sentAt: number;
  tookMs: number;
  /** Monotonic time at which the caller left, in milliseconds. */
  leftAt: number;
  plain: { status: number; ms: number }[];
}

/** Time after its deadline at which a caller must have an answer, in milliseconds. */
const deadlineSlackMs = 500;
/** Time after a caller has left in which its request may still reach an endpoint, in milliseconds. */
const leaveSlackMs = 500;
const alwaysFullMs = 4_000;
const misdirectedStatus = 421;
/** Requests that are sent while all endpoints are occupied. */
const newRequests = 5;
const newRequestIntervalMs = 20;

function eventIds({ body }: CallerResponse): number[] {
  return [...body.matchAll(/^id: (\d+)$/gm)].map(([, id]) => Number(id));
}

function isInOrder(ids: readonly number[]): boolean {
  return ids.every((id, index) => id === index + 1);
}

/** Index of the first arrival of the same request. */
function indexOfFirst(arrivals: readonly Arrival[], { id }: Arrival): number {
  return arrivals.findIndex((arrival) => arrival.id === id);
}

/** Causes of the cuts that the entry has logged. */
function describeCuts({ begunFleet: { platform } }: BegunWorld): string {
  const cuts = platform.logEntries.filter(({ message }) => message.endsWith('Stream cut.'));
  return cuts
    .map(({ fields }) => `${String(fields.cause)}, ${String(fields.leftMs)} ms left`)
    .join('; ');
}

Given(
  /^an entry and (\d+) endpoints(, one connection each)?$/,
  { timeout: 20_000 },
  async function start(this: BegunWorld, count: string, isNarrow: string | null) {
    const options = isNarrow ? { maxConnections: 2 } : {};
    this.begunFleet = await BegunFleet.start(Number(count), options);
    this.begunEntry = await this.begunFleet.startEntry();
  },
);

After(async function close(this: Partial<BegunWorld>) {
  await this.begunFleet?.close();
});

When(
  /^a stream has begun, and (.+)$/,
  { timeout: 20_000 },
  async function begin(this: BegunWorld, name: string) {
    const trouble = begunTroubles[name]!;
    this.begunFleet = await BegunFleet.start(trouble.endpoints, trouble.options);
    this.begunEntry = await this.begunFleet.startEntry();
    await trouble.prepare?.(this.begunFleet);
    trouble.arrange(this.begunFleet, this.begunEntry);
    const sending = Array.from({ length: trouble.streams ?? 1 }, () =>
      this.begunFleet.sendStream(),
    );
    this.streams = await Promise.all(sending);
  },
);

When(
  /^one stream in 6 is broken off(, with entries that have just started,)? while (.+)$/,
  { timeout: 90_000 },
  async function send(this: BegunWorld, areNew: string | null, name: string) {
    this.begunFleet = await BegunFleet.start(fullEndpoints, fullOptions);
    const { begunFleet: fleet } = this;
    fleet.configure({ TimeoutMs: streamDeadlineMs });
    const entries = await fleet.startTwoEntries(areNew !== null);
    this.streams = await sendThroughPeriods(fleet, entries, fullPeriods[name]!);
  },
);

/** Number of streams of which each event has come once. */
function countWhole(streams: readonly CallerResponse[]): number {
  return streams.filter((stream) => {
    const ids = eventIds(stream);
    return stream.isWhole && ids.length === eventCount && isInOrder(ids);
  }).length;
}

Then(/^(\d\.\d+) of them are whole$/, function mostWhole(this: BegunWorld, least: string) {
  const wholeCount = countWhole(this.streams);
  const { arrivals } = this.begunFleet;
  const repeats = arrivals.filter(
    (arrival, index) => index !== indexOfFirst(arrivals, arrival),
  ).length;
  const seen = `${wholeCount} of ${this.streams.length} streams whole, ${repeats} repeats; ${describeCuts(this)}`;
  this.log(seen);
  assert.ok(wholeCount >= Number(least) * this.streams.length, seen);
});

Then('its caller gets all events once each', function whole(this: BegunWorld) {
  const wholeCount = countWhole(this.streams);
  const seen = `${wholeCount} of ${this.streams.length} streams whole; ${describeCuts(this)}`;
  this.log(seen);
  assert.equal(wholeCount, this.streams.length, seen);
});

Then('no event is missing or comes twice', function ordered(this: BegunWorld) {
  this.streams.forEach((stream) => {
    const ids = eventIds(stream);
    assert.ok(isInOrder(ids), ids.join());
    assert.ok(!stream.isWhole || ids.length === eventCount, 'a part looks complete');
  });
});

/** Number of times in a window that begins at `from`. */
function countFrom(times: readonly number[], from: number, windowMs: number): number {
  return times.filter((at) => at >= from && at < from + windowMs).length;
}

Then('the repeats keep the retry budget', function budget(this: BegunWorld) {
  const { arrivals, platform } = this.begunFleet;
  const { retryRatio, retrySlack, retryWindowMs } = platform.settings.bounds;
  const firsts = arrivals.filter((arrival, index) => index === indexOfFirst(arrivals, arrival));
  const repeats = arrivals.filter((arrival) => !firsts.includes(arrival)).map(({ at }) => at);
  const requests = firsts.map(({ at }) => at);
  repeats.forEach((from) => {
    // The requests are those of this window, the one before it or the one half a window before it.
    const counts = [0, 0.5, 1].map((part) =>
      countFrom(requests, from - part * retryWindowMs, retryWindowMs),
    );
    const most = retrySlack + retryRatio * Math.max(...counts);
    const found = countFrom(repeats, from, retryWindowMs);
    assert.ok(found <= most, `${found} repeats in a window, ${most} allowed`);
  });
});

When(
  /^a stream is broken off and all endpoints are full until (its deadline|its caller has left)$/,
  { timeout: 10_000 },
  async function full(this: BegunWorld, until: string) {
    const { begunFleet: fleet } = this;
    const hasLeft = until === 'its caller has left';
    const leave = new AbortController();
    fleet.interrupt = async (_endpoint, request): Promise<void> => {
      if (hasLeft) {
        void fleet.occupy();
        void fleet.occupy();
      } else void fleet.fill(fleet.endpoints, alwaysFullMs);
      await breakOff(request);
      if (!hasLeft) return;
      await sleep(newRequestIntervalMs);
      this.leftAt = performance.now();
      leave.abort();
    };
    this.sentAt = performance.now();
    const stream = fleet.sendStream(leave.signal);
    if (hasLeft) await assert.rejects(stream);
    else this.streams = [await stream];
    this.tookMs = performance.now() - this.sentAt;
  },
);

Then(
  'its caller has the end by half a second after its deadline',
  function ended(this: BegunWorld) {
    const seen = `${Math.round(this.tookMs)} ms; ${describeCuts(this)}`;
    this.log(seen);
    assert.ok(this.tookMs <= deadlineMs + deadlineSlackMs, seen);
    assert.equal(this.streams[0]!.isWhole, false);
  },
);

Then('it waits for an endpoint until then', function waited(this: BegunWorld) {
  const seen = `${Math.round(this.tookMs)} ms of ${deadlineMs}; ${describeCuts(this)}`;
  assert.ok(this.tookMs >= deadlineMs - deadlineSlackMs, seen);
});

Then(
  'no endpoint gets it half a second later or after',
  { timeout: 10_000 },
  async function gone(this: BegunWorld) {
    await sleep(deadlineMs);
    const late = this.begunFleet.arrivals.filter(
      ({ at, id }) => id === this.begunFleet.arrivals[0]!.id && at > this.leftAt + leaveSlackMs,
    );
    assert.equal(late.length, 0);
    const { metrics } = this.begunFleet.platform;
    assert.equal(sumMetric(metrics, 'requests_waiting'), 0);
  },
);

When(
  /^(\d+) streams are broken off, and then one endpoint is full and the other responds 421 for (\d+) ms$/,
  { timeout: 20_000 },
  async function misdirect(this: BegunWorld, count: string, ms: string) {
    const { begunFleet: fleet } = this;
    const refuse = fleet.turnAway;
    let brokenAt: number | undefined;
    Object.assign(fleet, {
      refuses: (_endpoint, { headers }) =>
        headers['last-event-id'] !== undefined && performance.now() < brokenAt! + Number(ms),
      turnAway: (endpoint, response, request) => {
        if (endpoint.index === 0) refuse(endpoint, response, request);
        else response.writeHead(misdirectedStatus).end();
      },
      interrupt: async (_endpoint, request) => {
        brokenAt ??= performance.now();
        await breakOff(request);
      },
    } satisfies Partial<BegunFleet>);
    const sending = Array.from({ length: Number(count) }, () => fleet.sendStream());
    this.streams = await Promise.all(sending);
  },
);

Then(
  /^the other one turns away at most (\d+) of them$/,
  function few(this: BegunWorld, most: string) {
    const { arrivals } = this.begunFleet;
    const again = arrivals.filter((arrival, index) => index !== indexOfFirst(arrivals, arrival));
    const count = again.filter(({ endpoint, isRun }) => endpoint === 1 && !isRun).length;
    const seen = `${count} of ${again.length} repeats`;
    this.log(seen);
    assert.ok(count <= Number(most), seen);
  },
);

When(
  'a stream waits for an endpoint and new requests come',
  { timeout: 10_000 },
  async function refuse(this: BegunWorld) {
    const { begunFleet: fleet } = this;
    let plain: Promise<{ status: number; ms: number }[]> | undefined;
    await fleet.occupy();
    fleet.interrupt = async (_endpoint, request): Promise<void> => {
      // The endpoint that broke it off takes another stream, so that both are occupied.
      await breakOff(request);
      await fleet.occupy();
      plain = Promise.all(Array.from({ length: newRequests }, () => fleet.sendPlain()));
    };
    this.streams = [await fleet.sendStream()];
    await eventually(() => plain !== undefined, 'the new requests are sent');
    this.plain = await plain!;
  },
);

Then(
  /^the new ones that are refused know it within (\d+) ms$/,
  function refused(this: BegunWorld, mostMs: string) {
    const seen = this.plain.map(({ status, ms }) => `${status} after ${Math.round(ms)} ms`).join();
    this.log(seen);
    const late = this.plain.filter(({ status, ms }) => status === 503 && ms > Number(mostMs));
    assert.equal(late.length, 0, seen);
    assert.ok(
      this.plain.some(({ status }) => status === 503),
      seen,
    );
  },
);

When(
  'a stream is broken off by each endpoint that it reaches',
  { timeout: 10_000 },
  async function each(this: BegunWorld) {
    const { begunFleet: fleet } = this;
    const breakEach: BegunFleet['interrupt'] = async (_endpoint, request) => breakOff(request);
    Object.assign(fleet, { interrupt: breakEach, resume: breakEach });
    this.streams = [await fleet.sendStream()];
  },
);

Then(/^it has run on (\d+) endpoints at most$/, function runs(this: BegunWorld, most: string) {
  const used = new Set(this.begunFleet.arrivals.map(({ endpoint }) => endpoint));
  this.log(`${used.size} endpoints; ${describeCuts(this)}`);
  assert.ok(used.size <= Number(most), `${used.size} endpoints`);
});

Then(/^the metrics count 1 cut for (\w+)$/, function cut(this: BegunWorld, cause: string) {
  const { metrics } = this.begunFleet.platform;
  assert.equal(sumMetric(metrics, 'streams_cut_total', { cause }), 1, metrics.render());
  assert.equal(sumMetric(metrics, 'streams_cut_total'), 1, metrics.render());
});
