import assert from 'node:assert/strict';
import { After, Then, When } from '@cucumber/cucumber';
import { OperatorClient } from '@laburnumstream/cli';
import type { CallOutcome } from '@laburnumstream/forwarding';
import { ResponseCollector, ConnectionPool, EndpointCall } from '@laburnumstream/forwarding';
import { platformHeaders } from '@laburnumstream/platform';
import { HistogramMetrics, SystemClock } from '@laburnumstream/runtime';
import { responseReaders, callEndpoint, getSecondOutcome } from '../support/responseReaders.js';
import {
  framings,
  sendScriptedResponse,
  closeDelimited,
  wholeBody,
} from '../support/scriptedResponses.js';
import { ScriptedEndpoint } from '../support/scriptedEndpoint.js';

interface AnswersWorld {
  answering: ScriptedEndpoint;
  /** Responses that a client returned as complete, as "FRAMING, ENDING". */
  accepted: string[];
  /** Responses that a client rejected as incomplete. */
  rejected: string[];
  outcome: CallOutcome;
  failure: unknown;
}

/** Time for which the reader pauses the connection, in milliseconds. */
const pausedMs = 100;

const abruptEndings = ['a reset before the end', 'a reset at once'];
const delimited = Object.keys(framings).filter((framing) => !closeDelimited.includes(framing));

/** Pairs of a framing and an ending that truncates its body. */
const truncatedResponses = [
  ...Object.keys(framings).flatMap((framing) =>
    abruptEndings.map((ending) => [framing, ending] as const),
  ),
  ...delimited.map((framing) => [framing, 'a close before the end'] as const),
  ...closeDelimited.map((framing) => [framing, 'a reset after many pieces'] as const),
];

/** Pairs of a framing and an ending that completes its body. */
const completeResponses = [
  ...delimited.map((framing) => [framing, 'all bytes'] as const),
  ...Object.keys(framings).map((framing) => [framing, 'a close'] as const),
];

const lateBody = 'firstother';
const ownBody = 'own answer';
const lateHead = `HTTP/1.1 200 OK\r\nContent-Length: ${lateBody.length}\r\n`;
const lateResponse = `${lateHead}Laburnumstream-Request-Id: r1\r\n\r\n${lateBody}`;
/** Late second responses to a request, by the names that step texts use. */
const lateResponses: Readonly<Record<string, string>> = {
  'with its id': lateResponse,
  'twice with its id': lateResponse.repeat(2),
  'without its id': `${lateHead}\r\n${lateBody}`,
};
const ownResponse = `HTTP/1.1 200 OK\r\nLaburnumstream-Request-Id: r2\r\nContent-Length: ${ownBody.length}\r\n\r\n${ownBody}`;

async function read(
  world: AnswersWorld,
  reader: string,
  answers: readonly (readonly [framing: string, ending: string])[],
): Promise<void> {
  const { accepted, rejected } = Object.assign(world, { accepted: [], rejected: [] });
  for (const [framing, ending] of answers) {
    const endpoint = await ScriptedEndpoint.start((socket) =>
      sendScriptedResponse(socket, framing, ending, 'r1'),
    );
    const name = `${framing}, ${ending}`;
    await responseReaders[reader]!(endpoint.address).then(
      (body) => accepted.push(body === undefined || body === wholeBody ? name : `${name}: ${body}`),
      (error: unknown) => rejected.push(`${name}: ${String(error)}`),
    );
    endpoint.close();
  }
}

After(function close(this: Partial<AnswersWorld>) {
  this.answering?.close();
});

When(/^(.+) reads answers that are cut$/, function cut(this: AnswersWorld, reader: string) {
  return read(this, reader, truncatedResponses);
});

When(/^(.+) reads answers that end as they say$/, function whole(this: AnswersWorld, name: string) {
  return read(this, name, completeResponses);
});

Then('it takes none of them for whole', function none(this: AnswersWorld) {
  assert.deepEqual(this.accepted, []);
  assert.equal(this.rejected.length, truncatedResponses.length);
});

Then('it takes all of them for whole', function all(this: AnswersWorld) {
  assert.deepEqual(this.rejected, []);
  const names = completeResponses.map(([framing, ending]) => `${framing}, ${ending}`);
  assert.deepEqual(this.accepted, names);
});

When(
  /^an entry asks by (\w+) and gets (\d+) without a length$/,
  async function ask(this: AnswersWorld, method: string, status: string) {
    this.answering = await ScriptedEndpoint.start((socket) =>
      socket.write(`HTTP/1.1 ${status} Any\r\nLaburnumstream-Request-Id: r1\r\n\r\n`),
    );
    this.outcome = await callEndpoint(this.answering.address, method);
  },
);

Then(/^it has a whole answer with status (\d+)$/, function has(this: AnswersWorld, status: string) {
  assert.equal(this.outcome.kind, 'response', JSON.stringify(this.outcome));
  if (this.outcome.kind === 'response') assert.equal(this.outcome.response.status, Number(status));
});

When(
  /^an endpoint answers twice, (with its id|twice with its id|without its id), and the second time late$/,
  async function twice(this: AnswersWorld, how: string) {
    let requests = 0;
    this.answering = await ScriptedEndpoint.start((socket) => {
      requests += 1;
      if (requests === 1) sendScriptedResponse(socket, 'a length', 'all bytes', 'r1');
      else socket.write(`${lateResponses[how]}${ownResponse}`);
    });
    this.outcome = await getSecondOutcome(this.answering.address);
  },
);

When(
  'an endpoint refuses the second request on a connection without an id',
  async function refuse(this: AnswersWorld) {
    let requests = 0;
    this.answering = await ScriptedEndpoint.start((socket) => {
      requests += 1;
      const refusal = 'HTTP/1.1 503 Full\r\nLaburnumstream-Not-Executed: 1\r\n';
      if (requests === 1) sendScriptedResponse(socket, 'a length', 'all bytes', 'r1');
      else socket.write(`${refusal}Content-Length: 0\r\n\r\n`);
    });
    this.outcome = await getSecondOutcome(this.answering.address);
  },
);

Then('that request has a refusal', function refused(this: AnswersWorld) {
  assert.equal(this.outcome.kind, 'response', JSON.stringify(this.outcome));
  if (this.outcome.kind === 'response') assert.ok(this.outcome.response.head.wasNotRun);
});

When(
  /^an endpoint ends an answer with (.+) by (.+) while its reader has paused$/,
  async function pause(this: AnswersWorld, framing: string, ending: string) {
    this.answering = await ScriptedEndpoint.start((socket) =>
      sendScriptedResponse(socket, framing, ending, 'r1'),
    );
    const pool = new ConnectionPool(
      this.answering.address,
      new SystemClock(),
      new HistogramMetrics(),
    );
    const collector = new ResponseCollector();
    const request = { method: 'GET', path: '/', id: 'r1', headers: [], body: Buffer.alloc(0) };
    const call = new EndpointCall(pool, request, Infinity, platformHeaders, {
      onHead: (...answer) => collector.onHead(...answer),
      onData: (bytes) => {
        collector.onData(bytes);
        call.pause();
        setTimeout(() => call.resume(), pausedMs);
      },
      onEnd: () => collector.onEnd(),
      onFailure: (...fault) => collector.onFailure(...fault),
    });
    call.start();
    this.outcome = await collector.outcome;
    pool.closeIdle();
  },
);

Then(
  /^the paused call ends as (whole|truncated)$/,
  function ends(this: AnswersWorld, expected: string) {
    const { outcome } = this;
    const end = outcome.kind === 'response' ? 'whole' : outcome.fault;
    assert.equal(end, expected, JSON.stringify(outcome));
    if (outcome.kind === 'response') assert.equal(outcome.response.body.toString(), wholeBody);
  },
);

Then(
  /^the next request on the connection gets (crossed)$/,
  function next(this: AnswersWorld, fault: string) {
    assert.equal(this.outcome.kind, 'fault', JSON.stringify(this.outcome));
    if (this.outcome.kind === 'fault') assert.equal(this.outcome.fault, fault);
  },
);

Then(
  'the next request on the connection gets its own answer',
  function ownAnswer(this: AnswersWorld) {
    assert.equal(this.outcome.kind, 'response', JSON.stringify(this.outcome));
    if (this.outcome.kind === 'response')
      assert.equal(this.outcome.response.body.toString(), ownBody);
  },
);

When("the answer to an operator's change is cut", async function change(this: AnswersWorld) {
  this.answering = await ScriptedEndpoint.start((socket) => {
    socket.write('HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n{"version":');
    socket.resetAndDestroy();
  });
  const client = new OperatorClient(`http://${this.answering.address}`, 'token');
  this.failure = await client
    .call('POST', 'changes', { changeId: 'change-7' })
    .catch((error: unknown) => error);
});

Then(
  'the operator is told that the change may have been accepted',
  function told(this: AnswersWorld) {
    assert.match(String(this.failure), /unknown whether .* accepted.*--change-id change-7/);
  },
);
