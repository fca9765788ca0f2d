import assert from 'node:assert/strict';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { AgentProgram } from '../support/agentProgram.js';
import { eventually } from '../support/assertions.js';
import { TroubledEngine } from '../support/troubledEngine.js';
import type { EngineAnswer } from '../support/troubledEngine.js';

interface AgentMemoryWorld {
  troubled: TroubledEngine;
  limitedAgent: AgentProgram;
}

/** Time in which the agent must have asked, or have ordered the version, in milliseconds. */
const progressMs = 40_000;
const timeout = progressMs + 5_000;

function requireRunning({ program }: AgentProgram): void {
  assert.ok(program.isRunning, `The agent has ended: ${program.errors.slice(0, 2_000)}`);
}

After(function close(this: Partial<AgentMemoryWorld>) {
  this.limitedAgent?.close();
});

Given(
  /^an agent program with (\d+) MB of heap, whose engine sends its (.+) without end$/,
  async function start(this: AgentMemoryWorld, megabytes: string, answer: EngineAnswer) {
    this.troubled = await TroubledEngine.start(answer);
    const flags = [`--max-old-space-size=${megabytes}`];
    this.limitedAgent = await AgentProgram.start({ engine: this.troubled.server, flags });
  },
);

When(
  'the engine has been asked for it {int} times',
  { timeout },
  async function asked(this: AgentMemoryWorld, times: number) {
    await eventually(
      () => {
        requireRunning(this.limitedAgent);
        return this.troubled.troubles >= times;
      },
      `the agent has asked ${times} times`,
      progressMs,
    );
  },
);

Then('the agent program has not ended', function alive(this: AgentMemoryWorld) {
  requireRunning(this.limitedAgent);
});

Then(
  'it orders the version once the engine answers properly',
  { timeout },
  async function orders(this: AgentMemoryWorld) {
    this.troubled.isInTrouble = false;
    await eventually(() => this.troubled.version === 1, 'the version is ordered', progressMs);
    requireRunning(this.limitedAgent);
  },
);
