import assert from 'node:assert/strict';
import { After, Given, Then, When, setDefaultTimeout } from '@cucumber/cucumber';
import { Caller, Fleet, smallFleet } from '@laburnumstream/bench';
import type { CompletionResult } from '@laburnumstream/bench';
import { makeContent, computeToken } from '@laburnumstream/standins';
import { sha256 } from '@laburnumstream/runtime';

const scenarioTimeoutMs = 120_000;
const weightBytes = 1_048_576;
const model = 'assistant-model';
const prompt = 'Which numbers are free?';
/** Token count of a response that takes longer than all delays of a shutdown together. */
const longAnswerTokens = 1_200;

setDefaultTimeout(scenarioTimeoutMs);

interface PathWorld {
  fleet: Fleet;
  caller: Caller;
  result: CompletionResult;
  order: { status: number };
  exitCode: number | null;
}

Given('a small fleet', async function start(this: PathWorld) {
  this.fleet = await Fleet.start(smallFleet, { engine: { tokenMs: 5 }, logLevel: 'warn' });
  this.caller = new Caller(this.fleet.entries[0]!.callerUrl);
});

After(async function close(this: Partial<PathWorld>) {
  await this.caller?.close();
  await this.fleet?.close();
});

When(
  'a caller streams a completion of {int} tokens',
  async function stream(this: PathWorld, maxTokens: number) {
    this.result = await this.caller.complete('assistant', prompt, { maxTokens });
  },
);

Then('the whole answer comes from the loaded weights', function check(this: PathWorld) {
  const weightsDigest = sha256(makeContent(model, 'v1', weightBytes));
  const expected = this.result.tokens.map((_, index) => computeToken(weightsDigest, prompt, index));
  assert.equal(this.result.tokens.length, 8);
  assert.deepEqual(this.result.tokens, expected);
  assert.equal(this.result.ended, true);
});

When('a caller places an order', async function order(this: PathWorld) {
  const headers = { 'idempotency-key': 'order-1', 'non-idempotent': 'true' };
  this.order = await this.caller.call('desk', '/orders', '{"tags":3}', { headers });
});

Then('the order ran once', function check(this: PathWorld) {
  const runs = this.fleet.agents.flatMap(({ plain }) => plain?.runs ?? []);
  assert.equal(this.order.status, 200);
  assert.equal(runs.length, 1);
});

When('version v2 is rolled out', async function rollOut(this: PathWorld) {
  this.fleet.origin.sentBytes = 0;
  await this.fleet.rollOut(model, 'v2');
  await this.fleet.waitUntil(() => this.fleet.isRolledOut(model), 'the roll-out is done');
});

Then('every engine serves v2 and the origin sent about one copy', function check(this: PathWorld) {
  const engines = this.fleet.agents.flatMap(({ engine }) => engine ?? []);
  assert.equal(new Set(engines.map(({ loadedDigest }) => loadedDigest)).size, 1);
  assert.ok(this.fleet.origin.sentBytes <= weightBytes * 1.1, `${this.fleet.origin.sentBytes}`);
});

When('an agent gets SIGTERM while it streams', async function terminate(this: PathWorld) {
  const [first] = this.fleet.agents;
  const pendingResult = this.caller.complete('assistant', prompt, { maxTokens: longAnswerTokens });
  const findRunningAgent = () =>
    this.fleet.agents.find(({ engine }) => engine && engine.running > 0);
  await this.fleet.waitUntil(() => Boolean(findRunningAgent()), 'an engine runs the request');
  const agent = findRunningAgent() ?? first!;
  agent.process.signal('SIGTERM');
  this.result = await pendingResult;
  this.exitCode = await agent.process.waitForExit();
});

Then('the answer is whole and the agent exits with 0', function check(this: PathWorld) {
  assert.equal(this.result.ended, true);
  assert.equal(this.result.tokens.length, longAnswerTokens);
  const runs = this.fleet.agents.flatMap(({ engine }) => engine?.runs ?? []);
  assert.equal(runs.length, 1, 'Another engine had to resume the response.');
  assert.equal(this.exitCode, 0);
});
