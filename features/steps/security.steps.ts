import assert from 'node:assert/strict';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { Caller, Fleet, internalSecret, smallFleet } from '@laburnumstream/bench';
import type { CompletionResult } from '@laburnumstream/bench';
import { directRun } from '../support/directRun.js';
import { eventually } from '../support/assertions.js';

const service = 'assistant';
const newSecret = 'the-new-secret-between-the-processes';

interface SecurityWorld {
  securityFleet: Fleet;
  securityCaller: Caller;
  securityError: unknown;
  securityResults: CompletionResult[];
}

Given('a fleet for secrets', async function start(this: SecurityWorld) {
  this.securityFleet = await Fleet.start(smallFleet, { logLevel: 'info' });
  this.securityCaller = new Caller(this.securityFleet.entries[0]!.callerUrl);
  this.securityResults = [];
});

After(async function close(this: Partial<SecurityWorld>) {
  await this.securityCaller?.close();
  await this.securityFleet?.close();
});

When('a process with another secret calls an agent', async function call(this: SecurityWorld) {
  const [agent] = this.securityFleet.agents;
  this.securityError = await directRun(agent!.internalUrl, service, newSecret).catch(
    (error: unknown) => error,
  );
});

Then('the call is refused as not run and counted', async function check(this: SecurityWorld) {
  const [agent] = this.securityFleet.agents;
  assert.equal((this.securityError as { execution?: string }).execution, 'not run');
  assert.equal(agent!.engine!.runs.length, 0);
  const metrics = await (await fetch(`${agent!.weightsUrl}/metrics`)).text();
  assert.match(metrics, /internal_calls_unauthenticated_total 1/);
});

async function sendRequests(world: SecurityWorld): Promise<void> {
  for (let index = 0; index < 5; index += 1) {
    world.securityResults.push(await world.securityCaller.complete(service, `draft ${index}`));
  }
}

async function change(world: SecurityWorld, secrets: readonly string[]): Promise<void> {
  const { entries, agents } = world.securityFleet;
  const processes = [...entries, ...agents].map(({ process }) => process);
  const countReplacements = (text: string): number => text.split('Secrets replaced.').length;
  for (const process of processes) {
    const before = countReplacements(process.log);
    process.changeSettings({ secrets });
    process.signal('SIGHUP');
    await eventually(() => countReplacements(process.log) > before, 'the secrets are replaced');
    await sendRequests(world);
  }
}

When(
  'all processes take a new secret beside the old and then the new one alone',
  async function rotateSecrets(this: SecurityWorld) {
    await change(this, [internalSecret, newSecret]);
    await change(this, [newSecret, internalSecret]);
    await change(this, [newSecret]);
  },
);

Then(
  'requests were answered whole all the time and the old secret is refused',
  async function check(this: SecurityWorld) {
    assert.ok(this.securityResults.length > 0);
    this.securityResults.forEach(({ ended, error }) =>
      assert.equal(ended, true, String(error?.type)),
    );
    const [agent] = this.securityFleet.agents;
    const rejectedCall = directRun(agent!.internalUrl, service, internalSecret);
    await assert.rejects(rejectedCall, { execution: 'not run' });
    const acceptedRun = await directRun(agent!.internalUrl, service, newSecret);
    assert.equal(acceptedRun.tokens, 4);
  },
);
