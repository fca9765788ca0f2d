import assert from 'node:assert/strict';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { Caller, Fleet, smallFleet } from '@laburnumstream/bench';
import type { FleetAgent, CompletionResult } from '@laburnumstream/bench';
import { ResponseAssembler, FrameOrder, tokensDigest } from '@laburnumstream/decisions';
import { SeededRandom } from '@laburnumstream/common';
import { sha256 } from '@laburnumstream/runtime';
import { RelayMode, makeContent, computeToken } from '@laburnumstream/standins';
import { eventually } from '../support/assertions.js';

const tokenCount = 120;
const tokenMs = 15;
const weightBytes = 1_048_576;
const answersPrompt = 'Draft an order of forty tags.';

interface AnswersWorld {
  answersFleet: Fleet;
  answersCaller: Caller;
  answersResult: CompletionResult;
  assemblyResults: { filtered: boolean; unfiltered: boolean }[];
}

Given('a fleet with relays that streams slowly', async function start(this: AnswersWorld) {
  const engine = { tokenMs };
  this.answersFleet = await Fleet.start(smallFleet, { engine, relays: true, logLevel: 'warn' });
  this.answersCaller = new Caller(this.answersFleet.entries[0]!.callerUrl);
});

After(async function close(this: Partial<AnswersWorld>) {
  await this.answersCaller?.close();
  await this.answersFleet?.close();
});

function getEngineAgents({ answersFleet }: AnswersWorld): FleetAgent[] {
  return answersFleet.agents.filter(({ engine }) => engine);
}

/**
 * Starts a streamed response and calls `disturb` with the agent that runs the request after about ten
 * tokens.
 */
async function streamWithDisturbance(
  world: AnswersWorld,
  disturb: (agent: FleetAgent) => void,
  signal?: AbortSignal,
): Promise<void> {
  const options = { maxTokens: tokenCount, ...(signal ? { signal } : {}) };
  const pendingResult = world.answersCaller.complete('assistant', answersPrompt, options);
  pendingResult.catch(() => undefined);
  const findRunningAgent = () => getEngineAgents(world).find(({ engine }) => engine!.running > 0);
  await eventually(() => findRunningAgent() !== undefined, 'an engine runs the request');
  await new Promise((resolve) => {
    setTimeout(resolve, tokenMs * 10);
  });
  disturb(findRunningAgent()!);
  if (!signal) Object.assign(world, { answersResult: await pendingResult });
}

When(
  'the connection goes silent while an answer streams',
  async function silence(this: AnswersWorld) {
    await streamWithDisturbance(this, ({ relay }) => {
      relay!.setMode(RelayMode.silentExisting);
    });
  },
);

When('the connection is cut while an answer streams', async function cut(this: AnswersWorld) {
  await streamWithDisturbance(this, ({ relay }) => {
    relay!.setMode(RelayMode.cut);
    relay!.setMode(RelayMode.open);
  });
});

When('the engine dies while an answer streams', async function crash(this: AnswersWorld) {
  await streamWithDisturbance(this, ({ engine }) => engine!.crash());
});

When('all engines die while an answer streams', async function crash(this: AnswersWorld) {
  await streamWithDisturbance(this, () =>
    getEngineAgents(this).forEach(({ engine }) => engine!.crash()),
  );
});

When('the caller goes while an answer streams', async function disconnect(this: AnswersWorld) {
  const abort = new AbortController();
  await streamWithDisturbance(this, () => abort.abort(), abort.signal);
});

function createExpectedTokens(count: number): string[] {
  const weights = sha256(makeContent('assistant-model', 'v1', weightBytes));
  return Array.from({ length: count }, (_, index) => computeToken(weights, answersPrompt, index));
}

function assertComplete({ answersResult }: AnswersWorld): void {
  assert.equal(answersResult.ended, true, JSON.stringify(answersResult.error));
  assert.deepEqual(answersResult.tokens, createExpectedTokens(tokenCount));
}

Then('the answer is whole and the engines ran it once', function check(this: AnswersWorld) {
  assertComplete(this);
  const runs = getEngineAgents(this).flatMap(({ engine }) => engine!.runs);
  assert.equal(runs.length, 1);
});

Then('the answer is whole and another engine went on with it', function check(this: AnswersWorld) {
  assertComplete(this);
  const runs = getEngineAgents(this).flatMap(({ engine }) => engine!.runs);
  assert.equal(runs.filter(({ resumeFrom }) => resumeFrom > 0).length, 1);
});

Then(
  'the answer ends with a typed error and without its end mark',
  function check(this: AnswersWorld) {
    const { ended, tokens, error } = this.answersResult;
    assert.equal(ended, false);
    assert.ok(tokens.length > 0 && tokens.length < tokenCount);
    assert.deepEqual(tokens, createExpectedTokens(tokens.length));
    assert.equal(error?.execution, 'unknown');
    assert.equal(typeof error?.type, 'string');
  },
);

Then('no engine runs anything soon after', async function check(this: AnswersWorld) {
  const areIdle = () => getEngineAgents(this).every(({ engine }) => engine!.running === 0);
  const { runs } = getEngineAgents(this).find(({ engine }) => engine!.runs.length > 0)!.engine!;
  await eventually(areIdle, 'the engines are idle', (tokenCount * tokenMs) / 3);
  assert.equal(runs.length, 1);
});

interface ReplayedFrame {
  readonly id: string;
  readonly attempt: number;
  readonly sequence: number;
  readonly firstIndex: number;
  readonly texts: readonly string[];
}

function createFrames(id: string, attempt: number, texts: readonly string[]): ReplayedFrame[] {
  return texts.map((text, index) => ({
    id,
    attempt,
    sequence: index,
    firstIndex: index,
    texts: [text],
  }));
}

/** Duplicates frames and interleaves those of an earlier attempt and of another request. */
function addStaleFrames(texts: readonly string[], random: SeededRandom): ReplayedFrame[] {
  const staleFrames = [
    ...createFrames('request', 1, texts),
    ...createFrames(
      'other',
      2,
      texts.map((text) => `other ${text}`),
    ),
  ];
  return createFrames('request', 2, texts).flatMap((frame) => {
    const staleFrame = staleFrames[Math.floor(random.next() * staleFrames.length)]!;
    const duplicate = random.next() < 0.3 ? [frame] : [];
    return random.next() < 0.5
      ? [staleFrame, frame, ...duplicate]
      : [frame, ...duplicate, staleFrame];
  });
}

function isComplete(
  frames: readonly ReplayedFrame[],
  texts: readonly string[],
  accepts: (frame: ReplayedFrame) => boolean,
): boolean {
  const assembly = new ResponseAssembler(sha256);
  try {
    frames.filter(accepts).forEach((frame) => assembly.append(frame.firstIndex, frame.texts));
    assembly.verifyEnd(texts.length, tokensDigest(texts, sha256));
    return assembly.text === texts.join('');
  } catch {
    return false;
  }
}

When(
  '{int} answers come with late, doubled and crossed frames',
  function mix(this: AnswersWorld, count: number) {
    const random = new SeededRandom(5);
    this.assemblyResults = Array.from({ length: count }, (_, run) => {
      const texts = Array.from({ length: 20 }, (__, index) => ` ${run}-${index}`);
      const frames = addStaleFrames(texts, random);
      const order = new FrameOrder('request', 2);
      return {
        filtered: isComplete(frames, texts, (frame) => order.accepts(frame)),
        unfiltered: isComplete(frames, texts, () => true),
      };
    });
  },
);

Then('each answer is whole and its own', function check(this: AnswersWorld) {
  assert.ok(this.assemblyResults.every(({ filtered }) => filtered));
});

Then('an assembly that takes every frame is caught', function check(this: AnswersWorld) {
  assert.ok(this.assemblyResults.some(({ unfiltered }) => !unfiltered));
});
