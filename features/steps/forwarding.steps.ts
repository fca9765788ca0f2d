import assert from 'node:assert/strict';
import { After, Then, When } from '@cucumber/cucumber';
import fc from 'fast-check';
import { SeededRandom } from '@laburnumstream/common';
import {
  AttemptOutcome,
  EndpointHealth,
  EndpointLoad,
  EventSplitter,
  NamedVersions,
  DeferredRemovals,
  SharedRateLimiter,
  RetryPurpose,
  SharedRetryBudget,
  isVersionEligible,
  capacityShare,
} from '@laburnumstream/decisions';
import type { CallOutcome } from '@laburnumstream/forwarding';
import { callEndpoint } from '../support/responseReaders.js';
import { sendScriptedResponse, wholeBody } from '../support/scriptedResponses.js';
import { ScriptedEndpoint } from '../support/scriptedEndpoint.js';

interface ForwardingWorld {
  scripted: ScriptedEndpoint;
  outcome: CallOutcome;
  named: NamedVersions;
  hold: DeferredRemovals<string>;
  loads: EndpointLoad[];
}

When(
  /^an endpoint answers with (a length|chunks|chunks before close|neither) and (.+)$/,
  async function answer(this: ForwardingWorld, framing: string, ending: string) {
    this.scripted = await ScriptedEndpoint.start((socket) => {
      sendScriptedResponse(socket, framing, ending);
    });
    this.outcome = await callEndpoint(this.scripted.address);
  },
);

After(function close(this: Partial<ForwardingWorld>) {
  this.scripted?.close();
});

Then(/^the call ends as (whole|truncated)$/, function check(this: ForwardingWorld, end: string) {
  const actual = this.outcome.kind === 'response' ? 'whole' : this.outcome.fault;
  assert.equal(actual, end, JSON.stringify(this.outcome));
  if (this.outcome.kind === 'response') {
    assert.equal(this.outcome.response.body.toString(), wholeBody);
  }
});

When(
  /^version (\d+) is named at (\d+) and version (\d+) at (\d+)$/,
  function name(this: ForwardingWorld, first: string, at: string, second: string, then: string) {
    this.named = new NamedVersions();
    this.named.add(Number(first), Number(at));
    this.named.add(Number(second), Number(then));
  },
);

Then(
  /^an engine with version (\d+) is outdated since (\d+)$/,
  function outdated(this: ForwardingWorld, version: string, at: string) {
    assert.equal(this.named.outdatedAt(Number(version)), Number(at));
    assert.equal(this.named.outdatedAt(this.named.newest), Infinity);
  },
);

Then('over seeded answers an endpoint that fails four in ten costs more than a sound one', () => {
  const random = new SeededRandom(11);
  const failing = new EndpointHealth();
  const healthy = new EndpointHealth();
  for (let request = 0; request < 200; request += 1) {
    const now = request * 20;
    const isFailure = random.next() < 0.4;
    failing.recordAttempt(isFailure ? AttemptOutcome.failed : AttemptOutcome.responded, now);
    healthy.recordAttempt(AttemptOutcome.responded, now);
  }
  const end = 200 * 20;
  assert.ok(failing.failureRate(end) > 0.25, `failing endpoint: ${failing.failureRate(end)}`);
  assert.ok(healthy.failureRate(end) < 0.01, `healthy endpoint: ${healthy.failureRate(end)}`);
  const afterDecay = end + 30_000;
  assert.ok(failing.failureRate(afterDecay) < 0.01, 'the failure rate decays without requests');
});

Then('an endpoint that fails twice in a row is left alone and then tried by one request', () => {
  const health = new EndpointHealth();
  health.recordAttempt(AttemptOutcome.failed, 1_000);
  assert.ok(health.isAvailable(3, 1_000), 'one failure does not eject an endpoint');
  health.recordAttempt(AttemptOutcome.failed, 1_010);
  assert.ok(!health.isAvailable(0, 1_100));
  assert.ok(health.isAvailable(0, 1_300));
  assert.ok(!health.isAvailable(1, 1_300), 'only one request probes an ejected endpoint at a time');
  health.recordAttempt(AttemptOutcome.responded, 1_320);
  assert.ok(health.isAvailable(3, 1_320));
});

When(
  /^the store was away for (\d+) ms and returns at (\d+)$/,
  function returned(this: ForwardingWorld, outageMs: string, at: string) {
    this.hold = new DeferredRemovals();
    this.hold.storeRecovered(Number(outageMs), Number(at));
  },
);

Then('an endpoint that is missing then stays until 22000', function held(this: ForwardingWorld) {
  assert.ok(this.hold.defer('lapsed', 'lapsed', 20_010));
  assert.deepEqual(this.hold.due(21_900), []);
  assert.deepEqual(this.hold.due(22_000), ['lapsed']);
  assert.ok(!this.hold.hasPending);
});

Then('one that registers again stays', function again(this: ForwardingWorld) {
  assert.ok(this.hold.defer('back', 'back', 20_020));
  this.hold.cancel('back');
  assert.deepEqual(this.hold.due(23_000), []);
});

Then(
  'after an outage of 300 ms a missing endpoint is gone at once',
  function short(this: ForwardingWorld) {
    this.hold.storeRecovered(300, 30_000);
    assert.ok(!this.hold.defer('gone', 'gone', 30_010));
  },
);

const limits = { slots: 16, spare: 1, unreadMs: 200 };
const readMs = 20;

/**
 * Lets entries dispatch requests round-robin until none has room; returns the number dispatched.
 * With `isShared` each entry's load is reported to the others after each turn.
 */
function sendUntilFull(loads: readonly EndpointLoad[], isShared: boolean, now: number): number {
  let sent = 0;
  for (let turn = 0; turn < limits.slots * loads.length; turn += 1) {
    const load = loads[turn % loads.length]!;
    if (load.hasCapacity(limits, now)) {
      load.recordStart(readMs);
      sent += 1;
    }
    if (isShared) {
      const others = loads.filter((other) => other !== load);
      others.forEach((other) =>
        other.updatePeer(`entry ${turn % loads.length}`, load.ownLoad, now),
      );
    }
  }
  return sent;
}

/** Creates `count` entries' views of an engine in their region that reports 6 of 16 slots free. */
function createLoads(count: number): EndpointLoad[] {
  const random = new SeededRandom(3);
  return Array.from({ length: count }, () => {
    const load = new EndpointLoad(() => count - 1, true);
    const allowance = capacityShare(7, { local: count, remote: 0, isLocal: true }, random);
    load.applyReport({ running: 10, waiting: 0, slowdown: 1 }, 0, allowance, 1_000);
    return load;
  });
}

When(
  'three entries of a region hear that an engine has 6 of 16 slots free',
  function hear(this: ForwardingWorld) {
    this.loads = createLoads(3);
  },
);

Then(
  'they send 7 requests together when each hears of the others',
  function told(this: ForwardingWorld) {
    const none = { requests: 0, unreadMs: 0 };
    this.loads.forEach((load, index) =>
      [0, 1, 2].forEach((name) => name === index || load.updatePeer(`entry ${name}`, none, 1_000)),
    );
    assert.equal(sendUntilFull(this.loads, true, 1_010), 7);
    assert.ok(this.loads.every((load) => !load.hasCapacity(limits, 1_010)));
  },
);

Then('at most 9 together when they do not', () => {
  const sent = sendUntilFull(createLoads(3), false, 1_010);
  assert.ok(sent <= 9, `${sent} sent`);
});

const versionGraceMs = 8_000;

/** Age of a version that is outdated for a second less than the grace time, on an engine with free slots. */
const lastSecond = {
  outdatedMs: 7_000,
  graceMs: versionGraceMs,
  reportAgeMs: 400,
  startsAtOnce: true,
};

Then('an engine with the newest version is used whatever its reports', () => {
  const newest = { outdatedMs: -Infinity, reportAgeMs: Infinity, startsAtOnce: false };
  assert.ok(isVersionEligible({ ...lastSecond, ...newest }));
});

Then('one with an older version only while its reports are fresh and its time is not over', () => {
  assert.ok(isVersionEligible(lastSecond));
  // The last report is 2 s old, so the instance may be suspended: a request sent now could start
  // after the end of the grace period.
  assert.ok(!isVersionEligible({ ...lastSecond, reportAgeMs: 2_000 }));
  assert.ok(!isVersionEligible({ ...lastSecond, outdatedMs: 7_500, reportAgeMs: 100 }));
});

Then('a busy one with an older version only until 1.8 seconds before its time is over', () => {
  const busy = { ...lastSecond, startsAtOnce: false };
  assert.ok(isVersionEligible({ ...busy, outdatedMs: 6_100 }));
  assert.ok(!isVersionEligible({ ...busy, outdatedMs: 6_200 }));
  assert.ok(!isVersionEligible(busy));
});

/** The platform's bound on requests in any second: 17 times the factor 1.5, plus a slack of 5. */
const maxColdSendsPerSecond = 30;

Then(
  /^(\d+) entries send a cold engine that bears 17 a second at most (\d+) in any second$/,
  (entries: string, retryBudget: string) => {
    assert.equal(Number(retryBudget), maxColdSendsPerSecond);
    [1, 2, 3].forEach((seed) => {
      const random = new SeededRandom(seed);
      const share = 17 / Number(entries);
      const rates = Array.from(
        { length: Number(entries) },
        () => new SharedRateLimiter(random.next()),
      );
      const sends: number[] = [];
      for (let now = 0; now < 5_000; now += 5) {
        rates
          .filter((rate) => rate.allows(share, now))
          .forEach((rate) => {
            rate.record(share, now);
            sends.push(now);
          });
      }
      const most = Math.max(
        ...sends.map((at) => sends.filter((s) => s >= at && s < at + 1_000).length),
      );
      assert.ok(most <= maxColdSendsPerSecond, `${most} sends, seed ${seed}`);
      assert.ok(sends.length >= 0.8 * 17 * 4, `${sends.length} sends in all, seed ${seed}`);
    });
  },
);

const bound = { ratio: 0.2, slack: 102, windowMs: 10_000 };

/** Simulates entries with a shared retry budget; returns the times of requests and of retries. */
function simulateRetries(entries: number, seed: number): { requests: number[]; retries: number[] } {
  const random = new SeededRandom(seed);
  const budgets = Array.from(
    { length: entries },
    () => new SharedRetryBudget(bound, () => entries),
  );
  const requests: number[] = [];
  const retries: number[] = [];
  for (let now = 0; now < 30_000; now += random.next() * 10) {
    const budget = budgets[Math.floor(random.next() ** 2 * entries)]!;
    budget.recordRequest('model', now);
    requests.push(now);
    // In 4 of every 7 seconds most requests fail, so that the retry budget is exhausted.
    const fails = now % 7_000 < 4_000 ? 0.9 : 0.05;
    if (random.next() < fails && budget.tryAcquire('model', now, RetryPurpose.begun))
      retries.push(now);
  }
  return { requests, retries };
}

Then('over seeded histories all entries together repeat within the bound in any window', () => {
  [1, 7, 46].forEach((entries) => {
    const { requests, retries } = simulateRetries(entries, entries);
    const countIn = (times: readonly number[], from: number): number =>
      times.filter((at) => at >= from && at < from + bound.windowMs).length;
    retries.forEach((from) => {
      const limit = countIn(requests, from) * bound.ratio + bound.slack;
      assert.ok(countIn(retries, from) <= limit, `${entries} entries, window from ${from}`);
    });
    assert.ok(retries.length > 50, `${retries.length} retries`);
  });
});

Then('a stream that arrives in pieces of any sizes gives the same events', () => {
  const event = fc.record({
    id: fc.option(fc.nat(), { nil: undefined }),
    data: fc.string({ unit: 'grapheme-ascii' }),
    end: fc.constantFrom('\n\n', '\n\r\n'),
  });
  const property = fc.property(
    fc.array(event, { maxLength: 12 }),
    fc.infiniteStream(fc.integer({ min: 1, max: 9 })),
    (events, sizes) => {
      const texts = events.map(
        ({ id, data, end }) =>
          `${id === undefined ? '' : `id: ${id}\n`}data: ${JSON.stringify(data)}${end}`,
      );
      const bytes = Buffer.from(texts.join(''));
      const splitter = new EventSplitter();
      const kept: Buffer[] = [];
      let count = 0;
      let lastId: number | undefined;
      for (let at = 0; at < bytes.length;) {
        const size = sizes.next().value as number;
        const batch = splitter.push(bytes.subarray(at, at + size), lastId);
        kept.push(batch.bytes);
        count += batch.count;
        ({ lastId } = batch);
        at += size;
      }
      const highestBefore = (index: number): number =>
        Math.max(-1, ...events.slice(0, index).map(({ id = -1 }) => id));
      const newTexts = texts.filter((_, index) => {
        const { id } = events[index]!;
        return id === undefined || id > highestBefore(index);
      });
      assert.equal(Buffer.concat(kept).toString(), newTexts.join(''));
      assert.equal(count, events.length);
      assert.equal(lastId ?? -1, highestBefore(events.length));
      assert.equal(splitter.partialBytes, 0);
    },
  );
  fc.assert(property, { seed: 3, numRuns: 300 });
});

When(
  'eight entries of a region that heard of each other see 6 of 16 slots free at once',
  function race(this: ForwardingWorld) {
    this.loads = createLoads(8);
    const none = { requests: 0, unreadMs: 0 };
    this.loads.forEach((load, index) =>
      this.loads.forEach(
        (_, name) => name === index || load.updatePeer(`entry ${name}`, none, 1_000),
      ),
    );
  },
);

Then(
  'they send at most 12 requests together before they hear again',
  function bounded(this: ForwardingWorld) {
    const sent = sendUntilFull(this.loads, false, 1_005);
    assert.ok(sent > 0 && sent <= 12, `${sent} sent`);
  },
);
