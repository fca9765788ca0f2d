import assert from 'node:assert/strict';
import { get } from 'node:http';
import type { IncomingMessage } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { AgentProgram } from '../support/agentProgram.js';
import { eventually } from '../support/assertions.js';

/** A transfer as the agent that asked for it saw it. */
interface Transfer {
  /** 0 if there was no response. */
  readonly status: number;
  readonly bytes: number;
}

interface AgentStopsWorld {
  agentProgram: AgentProgram;
  running: Transfer[];
  late: Transfer;
  exitCode: number | null;
  stopTimeMs: number;
}

/** Time after the start of a transfer, within it, in milliseconds. */
const withinTransferMs = 120;
const msPerSecond = 1_000;

function readAll(response: IncomingMessage, resolve: (transfer: Transfer) => void): void {
  let bytes = 0;
  const end = (): void => resolve({ status: response.statusCode!, bytes });
  response.on('data', (part: Buffer) => {
    bytes += part.length;
  });
  response.once('end', end);
  response.once('error', end);
}

function fetchPiece(agent: AgentProgram, piece: number): Promise<Transfer> {
  return new Promise((resolve) => {
    const sent = get(agent.getPieceUrl(piece), { agent: false }, (response) =>
      readAll(response, resolve),
    );
    sent.once('error', () => resolve({ status: 0, bytes: 0 }));
  });
}

After(function close(this: Partial<AgentStopsWorld>) {
  this.agentProgram?.close();
});

Given('an agent program that holds pieces', async function start(this: AgentStopsWorld) {
  this.agentProgram = await AgentProgram.start();
  const holds = async (): Promise<boolean> =>
    (await fetchPiece(this.agentProgram, 1)).status === 200;
  await eventually(holds, 'the agent holds the pieces');
});

async function measureExit(world: AgentStopsWorld, startedAt: number): Promise<void> {
  const exitCode = await world.agentProgram.program.waitForExit();
  Object.assign(world, { exitCode, stopTimeMs: performance.now() - startedAt });
}

When(
  'it is stopped while it sends pieces, and is asked for one more',
  async function stop(this: AgentStopsWorld) {
    const { agentProgram: agent } = this;
    const running = [fetchPiece(agent, 0), fetchPiece(agent, 1)];
    await sleep(withinTransferMs);
    const startedAt = performance.now();
    agent.program.signal('SIGTERM');
    await sleep(withinTransferMs);
    this.late = await fetchPiece(agent, 0);
    this.running = await Promise.all(running);
    await measureExit(this, startedAt);
  },
);

Then('the pieces arrive whole', function whole(this: AgentStopsWorld) {
  const { pieceBytes } = this.agentProgram;
  const expected = { status: 200, bytes: pieceBytes };
  assert.deepEqual(this.running, [expected, expected]);
});

Then('the further one is refused', function refused(this: AgentStopsWorld) {
  assert.equal(this.late.status, 503);
});

When('it is stopped while a piece is not read', async function unread(this: AgentStopsWorld) {
  const sent = get(this.agentProgram.getPieceUrl(0), { agent: false }, (response) =>
    response.pause(),
  );
  sent.on('error', () => undefined);
  await sleep(withinTransferMs);
  const startedAt = performance.now();
  this.agentProgram.program.signal('SIGTERM');
  await measureExit(this, startedAt);
  sent.destroy();
});

Then(
  /^it ends within (\d+) seconds with exit code 0$/,
  function ended(this: AgentStopsWorld, seconds: string) {
    assert.equal(this.exitCode, 0);
    assert.ok(this.stopTimeMs <= Number(seconds) * msPerSecond, `${this.stopTimeMs} ms`);
  },
);
