import assert from 'node:assert/strict';
import { Agent } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { eventually } from '../support/assertions.js';
import {
  callRegularly,
  callUntilGone,
  createRequestText,
  openSocket,
  sendStopRequest,
} from '../support/stopCaller.js';
import type { StopOutcome, StopRequest } from '../support/stopCaller.js';
import { StopFleet, roomyShape, streamLength } from '../support/stopFleet.js';
import { playSeededStops } from '../support/seededStops.js';
import type { PlayedStop } from '../support/seededStops.js';

interface PlannedStopsWorld {
  stopFleet: StopFleet;
  outcomes: StopOutcome[];
  waiting: StopOutcome[];
  /** What a caller received on a connection that it used directly. */
  receivedText: string;
  played: readonly PlayedStop[];
}

const msPerSecond = 1_000;
const keptCallers = 4;
const queuedRequests = 8;
/** Time between new connections, in milliseconds. */
const intervalMs = 120;
/** Time for which requests come before the signal, in milliseconds. */
const leadMs = 700;
/** Time between the signal and its handling, with the way of a request, in milliseconds. */
const signalSlackMs = 100;
/** Time in which a busy process may not have read a request yet when it ends, in milliseconds. */
const crossingMs = 500;
/** Deadline beyond any grace time that is used here, in milliseconds. */
const farMs = 12_000;
const longTimeout = { timeoutMs: farMs, goalMs: 9_000 };

After(function close(this: Partial<PlannedStopsWorld>) {
  this.stopFleet?.close();
});

Given(
  /^an entry program with (\d+) seconds of grace$/,
  async function start(this: PlannedStopsWorld, graceS: string) {
    this.stopFleet = await StopFleet.start({ ...roomyShape, graceS: Number(graceS) });
  },
);

Given(
  /^an entry program with (\d+) seconds of grace and an engine for one request$/,
  async function narrow(this: PlannedStopsWorld, graceS: string) {
    // The entry leaves one of the connections to others.
    const size = { graceS: Number(graceS), engines: 1, maxConnections: 2 };
    this.stopFleet = await StopFleet.start({ ...longTimeout, ...size });
  },
);

Given(
  /^an entry program with (\d+) seconds of grace, deadlines beyond it and /,
  async function long(this: PlannedStopsWorld, graceS: string) {
    const size = { graceS: Number(graceS) };
    this.stopFleet = await StopFleet.start({ ...roomyShape, ...longTimeout, ...size });
  },
);

function describeOutcome({ id, sentAt, endedAt, status, error }: StopOutcome, since: number) {
  const seconds = (at: number): string => ((at - since) / msPerSecond).toFixed(2);
  return `${id}: ${seconds(sentAt)} to ${seconds(endedAt)} s, ${status} ${error}`;
}

/** Describes a request of a seeded stop with what the entry has logged of it. */
function describeTraced(played: PlayedStop, outcome: StopOutcome): string {
  const { seed, stoppedAt, exitedAt = 0, lines, stopLines } = played;
  const seconds = (at: number | undefined): string =>
    at === undefined ? 'never' : ((at - stoppedAt) / msPerSecond).toFixed(2);
  const { connectedAt, writtenAt } = outcome;
  return [
    `seed ${seed}, ${describeOutcome(outcome, stoppedAt)}`,
    `connected ${seconds(connectedAt)}, written ${seconds(writtenAt)}, exit ${seconds(exitedAt)}`,
    ...(lines.get(outcome.id) ?? []),
    ...stopLines,
  ].join('\n');
}

function assertNone(world: PlannedStopsWorld, outcomes: readonly StopOutcome[], what: string) {
  const { stoppedAt = 0 } = world.stopFleet;
  const lines = outcomes.map((outcome) => describeOutcome(outcome, stoppedAt));
  assert.equal(lines.length, 0, `${lines.length} of ${world.outcomes.length} ${what}: ${lines}`);
}

function isServed({ status, isWhole }: StopOutcome): boolean {
  return status === 200 && isWhole;
}

When(
  /^it is stopped while requests of ([\d.]+) seconds with deadlines of (\d+) seconds? come on all connections$/,
  async function late(this: PlannedStopsWorld, workS: string, deadlineS: string) {
    const { stopFleet: fleet } = this;
    const times = {
      workMs: Number(workS) * msPerSecond,
      deadlineMs: Number(deadlineS) * msPerSecond,
    };
    const next = (): StopRequest => ({ route: 'unsafe', ...times });
    const sent = [
      callRegularly(fleet, intervalMs, next),
      ...Array.from({ length: keptCallers }, () => callUntilGone(fleet, next)),
    ];
    await sleep(leadMs);
    fleet.stop();
    this.outcomes = (await Promise.all(sent)).flat();
  },
);

Then(
  'each request that was passed on has its whole answer',
  function whole(this: PlannedStopsWorld) {
    const { ranIds } = this.stopFleet;
    const cut = this.outcomes
      .filter((outcome) => ranIds.has(outcome.id) && !isServed(outcome))
      // On a busy machine an engine may miss the deadline, which is a final answer, too.
      .filter(({ status, endedAt, deadlineAt }) => status !== 504 || endedAt < deadlineAt);
    assertNone(this, cut, 'were passed on and not answered');
    assert.ok(this.outcomes.some(isServed));
  },
);

Then(
  'each refused request did not run, may come back and finds its connection closed',
  function refused(this: PlannedStopsWorld) {
    const { ranIds } = this.stopFleet;
    const refusals = this.outcomes.filter(({ status }) => status === 503);
    assert.ok(refusals.length > 0, 'no request was refused');
    const wrong = refusals.filter(
      ({ id, retryAfter, closesConnection }) =>
        ranIds.has(id) || !(Number(retryAfter) <= 1) || !closesConnection,
    );
    assertNone(this, wrong, 'were refused wrongly');
  },
);

Then(
  /^all requests of the first (?:(\d+) seconds|second) after the signal are answered$/,
  function served(this: PlannedStopsWorld, seconds: string | null) {
    const { stoppedAt = 0 } = this.stopFleet;
    const until = stoppedAt + Number(seconds ?? 1) * msPerSecond - signalSlackMs;
    const early = this.outcomes.filter(({ sentAt }) => sentAt < until);
    assert.ok(early.some(({ sentAt }) => sentAt > stoppedAt));
    assertNone(
      this,
      early.filter((outcome) => !isServed(outcome)),
      'were not answered',
    );
  },
);

When(
  'it is stopped while requests with deadlines beyond the grace wait',
  async function queued(this: PlannedStopsWorld) {
    const { stopFleet: fleet } = this;
    const request = { route: 'unsafe', workMs: 2_000, deadlineMs: farMs } as const;
    const sent = Array.from({ length: queuedRequests }, () => sendStopRequest(fleet, request));
    await sleep(leadMs);
    const startedIds = fleet.ranIds;
    fleet.stop();
    this.outcomes = await Promise.all(sent);
    this.waiting = this.outcomes.filter(({ id }) => !startedIds.has(id));
    assert.ok(this.waiting.length > 0, 'some wait');
  },
);

Then(
  /^the waiting requests are refused within ([\d.]+) seconds after the signal$/,
  function refusedSoon(this: PlannedStopsWorld, seconds: string) {
    const { ranIds, stoppedAt = 0 } = this.stopFleet;
    const latest = stoppedAt + Number(seconds) * msPerSecond;
    const wrong = this.waiting.filter(
      ({ id, status, endedAt }) => status !== 503 || ranIds.has(id) || endedAt > latest,
    );
    assertNone(this, wrong, 'were not refused in time');
  },
);

When(
  'it is stopped while bodies are half sent, before and after the signal',
  async function half(this: PlannedStopsWorld) {
    const { stopFleet: fleet } = this;
    const request = { workMs: 0, announcedBytes: 100 };
    const send = (deadlineMs: number): Promise<StopOutcome>[] => [
      sendStopRequest(fleet, { route: 'unsafe', deadlineMs, ...request }),
      sendStopRequest(fleet, { route: 'safe', deadlineMs, ...request }),
    ];
    const before = [...send(1_500), ...send(6_000)];
    await sleep(leadMs);
    fleet.stop();
    await sleep(leadMs);
    this.outcomes = await Promise.all([...before, ...send(1_500), ...send(6_000)]);
  },
);

Then(
  'each of them is refused before the process ends',
  function refusedAll(this: PlannedStopsWorld) {
    const wrong = this.outcomes.filter(({ status, isWhole }) => status !== 503 || !isWhole);
    assertNone(this, wrong, 'were not refused');
    assert.equal(this.stopFleet.ranIds.size, 0);
  },
);

When('it is stopped while requests run', async function running(this: PlannedStopsWorld) {
  const { stopFleet: fleet } = this;
  const routes = ['unsafe', 'safe', 'stream'] as const;
  const sent = routes.map((route) =>
    sendStopRequest(fleet, { route, workMs: 60 * msPerSecond, deadlineMs: farMs }),
  );
  await sleep(leadMs);
  fleet.stop();
  this.outcomes = await Promise.all(sent);
});

Then(
  'each of them ends with a final answer that does not say that it has not run',
  function final(this: PlannedStopsWorld) {
    const wrong = this.outcomes.filter(({ status }) => status !== 502 && status !== 504);
    assertNone(this, wrong, 'have no final answer');
  },
);

When(
  'it is stopped and one of its engines closes its connections',
  async function ends(this: PlannedStopsWorld) {
    const { stopFleet: fleet } = this;
    const request = { route: 'stream', workMs: 2_000, deadlineMs: farMs } as const;
    const sent = Array.from({ length: 6 }, () => sendStopRequest(fleet, request));
    await eventually(() => fleet.ranIds.size === sent.length, 'all streams run');
    await sleep(leadMs);
    fleet.stop();
    await sleep(signalSlackMs);
    fleet.engines[0]!.closeConnections();
    this.outcomes = await Promise.all(sent);
  },
);

Then('all streams are whole, at the other engine', function whole(this: PlannedStopsWorld) {
  const expected = Array.from({ length: streamLength }, (_, index) => String(index + 1));
  const wrong = this.outcomes.filter((outcome) => {
    const ids = [...outcome.body.matchAll(/^id: (\d+)$/gm)].map(([, id]) => id);
    return !isServed(outcome) || ids.join() !== expected.join();
  });
  assertNone(this, wrong, 'are not whole');
  assert.equal(this.stopFleet.engines[1]!.startedRequestIds.length, this.outcomes.length);
});

When('it is stopped while such streams run', async function endless(this: PlannedStopsWorld) {
  const { stopFleet: fleet } = this;
  const request = { route: 'stream', workMs: 5 * msPerSecond, deadlineMs: farMs } as const;
  const sent = [sendStopRequest(fleet, request), sendStopRequest(fleet, request)];
  await sleep(leadMs);
  fleet.stop();
  this.outcomes = await Promise.all(sent);
});

Then(
  /^they go on for at least ([\d.]+) seconds after the signal$/,
  function goOn(this: PlannedStopsWorld, seconds: string) {
    const { stoppedAt = 0 } = this.stopFleet;
    const until = stoppedAt + Number(seconds) * msPerSecond;
    const cut = this.outcomes.filter(({ status, endedAt }) => status !== 200 || endedAt < until);
    assertNone(this, cut, 'ended too early');
  },
);

When(
  /^it is stopped while requests of ([\d.]+) seconds run on kept connections$/,
  async function kept(this: PlannedStopsWorld, workS: string) {
    const { stopFleet: fleet } = this;
    const agent = new Agent({ keepAlive: true });
    const workMs = Number(workS) * msPerSecond;
    const request = { route: 'unsafe', workMs, deadlineMs: 2_000, agent } as const;
    const sent = Array.from({ length: keptCallers }, () => sendStopRequest(fleet, request));
    await eventually(() => fleet.ranIds.size === sent.length, 'all requests run');
    fleet.stop();
    this.outcomes = await Promise.all(sent);
    agent.destroy();
  },
);

Then('each answer says that its connection closes', function closes(this: PlannedStopsWorld) {
  const open = this.outcomes.filter((outcome) => !isServed(outcome) || !outcome.closesConnection);
  assertNone(this, open, 'keep their connection');
});

When(
  'it is stopped and a caller sends two requests at once on a kept connection',
  async function two(this: PlannedStopsWorld) {
    const { stopFleet: fleet } = this;
    const socket = openSocket(fleet).setEncoding('utf8');
    this.receivedText = '';
    socket.on('data', (text: string) => {
      this.receivedText += text;
    });
    socket.write(createRequestText('kept'));
    await eventually(() => this.receivedText.includes('whole answer'), 'the first is answered');
    fleet.stop();
    await sleep(signalSlackMs);
    socket.write(createRequestText('first') + createRequestText('second'));
    await fleet.program.waitForExit();
    socket.destroy();
  },
);

Then('no request has run without an answer', function answered(this: PlannedStopsWorld) {
  const answers = this.receivedText.match(/whole answer/g) ?? [];
  assert.ok(answers.length >= 2, this.receivedText);
  assert.equal(answers.length, this.stopFleet.ranIds.size);
});

When(
  /^it is stopped and stands still from ([\d.]+) to ([\d.]+) seconds after the signal while requests arrive$/,
  async function stall(this: PlannedStopsWorld, start: string, end: string) {
    const { stopFleet: fleet } = this;
    const agent = new Agent({ keepAlive: true });
    const request = { route: 'unsafe', workMs: 0, deadlineMs: 3_000 } as const;
    // These connections are idle when the stop begins.
    const send = (): Promise<StopOutcome> => sendStopRequest(fleet, { ...request, agent });
    await Promise.all(Array.from({ length: keptCallers }, send));
    fleet.stop();
    await sleep(Number(start) * msPerSecond);
    fleet.program.signal('SIGSTOP');
    await sleep(signalSlackMs);
    const sent = Array.from({ length: keptCallers }, () => [
      send(),
      sendStopRequest(fleet, request),
    ]).flat();
    await sleep((Number(end) - Number(start)) * msPerSecond - signalSlackMs);
    fleet.program.signal('SIGCONT');
    this.outcomes = await Promise.all(sent);
    agent.destroy();
  },
);

Then('each of them has an answer', function answered(this: PlannedStopsWorld) {
  const lost = this.outcomes.filter(({ status, isWhole }) => status === 0 || !isWhole);
  assertNone(this, lost, 'have no answer');
});

When(
  /^(\d+) entry programs with (\d+) seconds of grace are stopped at seeded moments of mixed traffic$/,
  async function seeded(this: PlannedStopsWorld, count: string, graceS: string) {
    this.played = await playSeededStops(Number(count), Number(graceS));
  },
);

Then(
  'no request that ran is without an answer, and no refused one ran',
  function kept(this: PlannedStopsWorld) {
    const wrong = this.played.flatMap((played) => {
      const { outcomes, ranIds, latestEndAt } = played;
      return (
        outcomes
          // A begun stream may be cut at its deadline, and by the end of the stop.
          .filter(({ status, endedAt, deadlineAt }) =>
            status === 200 ? endedAt < Math.min(deadlineAt, latestEndAt) : true,
          )
          .filter(({ id, status, isWhole }) => ranIds.has(id) && (!isWhole || status === 503))
          .map((outcome) => describeTraced(played, outcome))
      );
    });
    assert.equal(wrong.length, 0, wrong.join('\n'));
  },
);

Then(
  'no request is without an answer but those that crossed the close of their connection',
  function crossed(this: PlannedStopsWorld) {
    const wrong = this.played.flatMap((played) =>
      played.outcomes
        // Without a connection nothing was sent.
        .filter(({ status, error }) => status === 0 && error !== 'ECONNREFUSED')
        .filter(
          ({ id, sentAt, endedAt }) =>
            // A request that the entry has logged was read.
            endedAt - sentAt > crossingMs || played.lines.get(id)!.length > 0,
        )
        .map((outcome) => describeTraced(played, outcome)),
    );
    assert.equal(wrong.length, 0, wrong.join('\n'));
  },
);
