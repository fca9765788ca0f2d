import assert from 'node:assert/strict';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { Fleet, smallFleet } from '@laburnumstream/bench';
import type { FleetAgent } from '@laburnumstream/bench';

const model = 'assistant-model';
const timeoutMs = 40_000;

interface RollOutSafetyWorld {
  rollOutFleet: Fleet;
  rollOutAgents: FleetAgent[];
  digestOfV1: string;
  chosenAgent: FleetAgent;
}

Given('a roll-out fleet', async function start(this: RollOutSafetyWorld) {
  this.rollOutFleet = await Fleet.start(smallFleet, { logLevel: 'info' });
  this.rollOutAgents = this.rollOutFleet.agents.filter(({ engine }) => engine);
  this.digestOfV1 = this.rollOutAgents[0]!.engine!.loadedDigest;
});

After(async function close(this: Partial<RollOutSafetyWorld>) {
  await this.rollOutFleet?.close();
});

async function fetchMetrics({ weightsUrl }: FleetAgent): Promise<string> {
  return (await fetch(`${weightsUrl}/metrics`)).text();
}

async function waitUntilAllServeV2(world: RollOutSafetyWorld): Promise<void> {
  const { rollOutFleet: fleet } = world;
  await fleet.waitUntil(() => fleet.isRolledOut(model), 'the roll-out is done', timeoutMs);
  const served = world.rollOutAgents.map(({ engine }) => engine!.loadedDigest);
  assert.equal(new Set(served).size, 1);
  assert.notEqual(served[0], world.digestOfV1);
}

When(
  'the origin corrupts {int} chunks of version v2',
  async function corrupt(this: RollOutSafetyWorld, count: number) {
    this.rollOutFleet.origin.corruptNext = count;
    await this.rollOutFleet.rollOut(model, 'v2');
  },
);

Then(
  'all engines of the roll-out serve v2 and refused chunks are counted',
  async function check(this: RollOutSafetyWorld) {
    await waitUntilAllServeV2(this);
    const metrics = await Promise.all(this.rollOutAgents.map(fetchMetrics));
    assert.ok(metrics.some((text) => text.includes('weight_chunks_corrupt')));
  },
);

When(
  'an agent is frozen while version v2 spreads',
  async function freeze(this: RollOutSafetyWorld) {
    this.chosenAgent = this.rollOutAgents[0]!;
    this.chosenAgent.process.signal('SIGSTOP');
    await this.rollOutFleet.rollOut(model, 'v2');
  },
);

Then('the other engines serve v2', async function check(this: RollOutSafetyWorld) {
  const others = this.rollOutAgents.filter((agent) => agent !== this.chosenAgent);
  const isDone = () => others.every(({ engine }) => engine!.loadedDigest !== this.digestOfV1);
  await this.rollOutFleet.waitUntil(isDone, 'the other engines serve v2', timeoutMs);
  assert.equal(this.chosenAgent.engine!.loadedDigest, this.digestOfV1);
});

Then('the frozen one serves v2 after it wakes up', async function wake(this: RollOutSafetyWorld) {
  this.chosenAgent.process.signal('SIGCONT');
  const { engine } = this.chosenAgent;
  await this.rollOutFleet.waitUntil(
    () => engine!.loadedDigest !== this.digestOfV1,
    'the engine serves v2',
    timeoutMs,
  );
  await waitUntilAllServeV2(this);
});

When('the store is down while version v2 spreads', async function down(this: RollOutSafetyWorld) {
  await this.rollOutFleet.rollOut(model, 'v2');
  this.rollOutFleet.keyValue.faults.down = true;
});

Then('the agents hold v2 but no engine switches', async function check(this: RollOutSafetyWorld) {
  const served = () => this.rollOutAgents.map(({ engine }) => engine!.loadedDigest);
  const logs = () => this.rollOutAgents.map(({ process }) => process.log);
  const isWaiting = (log: string) => log.includes('store_unavailable');
  await this.rollOutFleet.waitUntil(
    () => logs().every(isWaiting),
    'all agents wait for a switch slot',
    timeoutMs,
  );
  assert.deepEqual(new Set(served()), new Set([this.digestOfV1]));
});

Then('all engines serve v2 once the store is back', async function back(this: RollOutSafetyWorld) {
  this.rollOutFleet.keyValue.faults.down = false;
  await waitUntilAllServeV2(this);
});

When(
  'version v2 is rolled out that an engine cannot load',
  async function rollOut(this: RollOutSafetyWorld) {
    this.rollOutAgents.forEach(({ engine }) => engine!.unloadableVersions.add('v2'));
    await this.rollOutFleet.rollOut(model, 'v2');
  },
);

Then(
  'the roll-out stops with a reason and all engines serve v1',
  async function check(this: RollOutSafetyWorld) {
    const fetchRollOut = async () =>
      (await this.rollOutFleet.admin('GET', `roll-outs/${model}`)).body;
    await this.rollOutFleet.waitUntil(
      async () => Boolean((await fetchRollOut()).stopped),
      'the roll-out is stopped',
      timeoutMs,
    );
    const { version, stopped } = await fetchRollOut();
    assert.equal(version, 'v1');
    assert.match(String(stopped), /v2: .* failed to load/);
    const served = this.rollOutAgents.map(({ engine }) => engine!.loadedDigest);
    assert.deepEqual(new Set(served), new Set([this.digestOfV1]));
  },
);

When('an engine crashes and the store is down', function crash(this: RollOutSafetyWorld) {
  this.chosenAgent = this.rollOutAgents[0]!;
  this.rollOutFleet.keyValue.faults.down = true;
  this.chosenAgent.engine!.crash();
});

When('an engine crashes three times', async function crash(this: RollOutSafetyWorld) {
  this.chosenAgent = this.rollOutAgents[0]!;
  const engine = this.chosenAgent.engine!;
  engine.crash();
  for (let crashes = 0; crashes < 2; crashes += 1) {
    const isBack = () => engine.loadedDigest === this.digestOfV1;
    await this.rollOutFleet.waitUntil(isBack, 'the engine serves v1', timeoutMs);
    engine.crash();
  }
});

Then('it serves v1 again', async function check(this: RollOutSafetyWorld) {
  const { engine } = this.chosenAgent;
  assert.equal(engine!.loadedDigest, '');
  await this.rollOutFleet.waitUntil(
    () => engine!.loadedDigest === this.digestOfV1,
    'the engine serves v1',
    timeoutMs,
  );
});

When(
  "an engine's agent is replaced while the origin is down",
  async function replace(this: RollOutSafetyWorld) {
    this.rollOutFleet.origin.faults.down = true;
    this.chosenAgent = this.rollOutAgents[0]!;
    await this.chosenAgent.process.kill();
    this.chosenAgent.engine!.crash();
    this.chosenAgent.process.start();
  },
);

Then('the new agent fetches v1 from its peers', async function check(this: RollOutSafetyWorld) {
  const { engine } = this.chosenAgent;
  await this.rollOutFleet.waitUntil(
    () => engine!.loadedDigest === this.digestOfV1,
    'the engine serves v1',
    timeoutMs,
  );
});
