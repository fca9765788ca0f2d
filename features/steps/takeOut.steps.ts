import assert from 'node:assert/strict';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { Caller, Fleet, smallFleet } from '@laburnumstream/bench';
import type { FleetAgent, FleetEntry, CompletionResult } from '@laburnumstream/bench';
import { directRun } from '../support/directRun.js';
import { eventually } from '../support/assertions.js';

const service = 'assistant';
const maxTokens = 100;

interface TakeOutWorld {
  takeOutFleet: Fleet;
  takeOutCaller: Caller;
  takeOutAnswer: Promise<CompletionResult>;
}

function findEntry(fleet: Fleet, dataCentreName: string): FleetEntry {
  return fleet.entries.find(({ dataCentre }) => dataCentre.name === dataCentreName)!;
}

function findEngines(fleet: Fleet, dataCentreName: string): FleetAgent[] {
  return fleet.agents.filter(
    ({ dataCentre, engine }) => engine && dataCentre.name === dataCentreName,
  );
}

async function fetchReadyStatus(entry: FleetEntry): Promise<number> {
  return (await fetch(`${entry.callerUrl}/ready`)).status;
}

Given(
  'a fleet for take-out with a running answer in south-a',
  async function start(this: TakeOutWorld) {
    this.takeOutFleet = await Fleet.start(smallFleet, {
      engine: { tokenMs: 20 },
      logLevel: 'warn',
    });
    const entry = findEntry(this.takeOutFleet, 'south-a');
    this.takeOutCaller = new Caller(entry.callerUrl);
    this.takeOutAnswer = this.takeOutCaller.complete(service, 'a long draft', { maxTokens });
    const [{ engine }] = findEngines(this.takeOutFleet, 'south-a') as [FleetAgent];
    await eventually(() => engine!.running > 0, 'the engine in south-a runs the request');
  },
);

After(async function close(this: Partial<TakeOutWorld>) {
  await this.takeOutCaller?.close();
  await this.takeOutFleet?.close();
});

When('operators take out south-a', async function takeOut(this: TakeOutWorld) {
  const fleet = this.takeOutFleet;
  await fleet.admin('POST', 'data-centres/south-a/take-out', { reason: 'test' });
  const isOut = async () => (await fetchReadyStatus(findEntry(fleet, 'south-a'))) === 503;
  await eventually(isOut, 'the entry of south-a is not ready');
});

When('operators return south-a', async function returnToService(this: TakeOutWorld) {
  await this.takeOutAnswer;
  await this.takeOutFleet.admin('POST', 'data-centres/south-a/return', { reason: 'test' });
});

Then('the running answer ends whole', async function check(this: TakeOutWorld) {
  const { ended, tokens } = await this.takeOutAnswer;
  assert.equal(ended, true);
  assert.equal(tokens.length, maxTokens);
});

Then(
  'its entry is not ready but serves what still comes from north-a',
  async function check(this: TakeOutWorld) {
    const fleet = this.takeOutFleet;
    const runsBefore = findEngines(fleet, 'south-a').map(({ engine }) => engine!.runs.length);
    assert.equal(await fetchReadyStatus(findEntry(fleet, 'south-a')), 503);
    for (let index = 0; index < 5; index += 1) {
      const result = await this.takeOutCaller.complete(service, `late ${index}`, { maxTokens: 2 });
      assert.equal(result.ended, true, JSON.stringify(result.error));
    }
    const runsAfter = findEngines(fleet, 'south-a').map(({ engine }) => engine!.runs.length);
    assert.deepEqual(runsAfter, runsBefore);
  },
);

Then(
  'its endpoints refuse an entry that does not know of it',
  async function check(this: TakeOutWorld) {
    for (const { internalUrl } of findEngines(this.takeOutFleet, 'south-a')) {
      const { tokens, refusal } = await directRun(internalUrl, service);
      assert.equal(tokens, 0);
      assert.equal(refusal?.execution, 'not run');
    }
  },
);

Then(
  'its entry is ready and its endpoints start with the cold limit',
  async function check(this: TakeOutWorld) {
    const fleet = this.takeOutFleet;
    const isReady = async () => (await fetchReadyStatus(findEntry(fleet, 'south-a'))) === 200;
    await eventually(isReady, 'the entry of south-a is ready');
    const [{ weightsUrl }] = findEngines(fleet, 'south-a') as [FleetAgent];
    const hasTurnedCold = async (): Promise<boolean> => {
      const metrics = await (await fetch(`${weightsUrl}/metrics`)).text();
      return metrics.includes('endpoint_turned_cold_return_total 1');
    };
    await eventually(hasTurnedCold, 'the endpoint of south-a turned cold');
  },
);
