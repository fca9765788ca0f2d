import assert from 'node:assert/strict';
import { Then } from '@cucumber/cucumber';
import { EndpointGate } from '@laburnumstream/agent';
import { Overloaded, SeededRandom } from '@laburnumstream/common';
import type { Clock } from '@laburnumstream/common';
import { FairQueue, policyDefaults } from '@laburnumstream/decisions';
import { HistogramMetrics } from '@laburnumstream/runtime';
import { FairnessSimulation } from '../support/fairnessSimulation.js';

const seed = 7;
const equalWeight = () => 1;

Then(
  'a small workspace waits at most {int} ms while two large ones flood with long requests',
  (maxMs: number) => {
    const simulation = new FairnessSimulation(32, equalWeight);
    const random = new SeededRandom(seed);
    for (let index = 0; index < 2_000; index += 1) {
      simulation.arrive('large-1', 1, 500 + random.next() * 1_000);
      simulation.arrive('large-2', 1, 500 + random.next() * 1_000);
      if (index % 10 === 0) simulation.arrive('small', 1, 100);
      simulation.advance(10);
    }
    const waits = simulation.waits.get('small') ?? [];
    assert.equal(waits.length, 200);
    assert.ok(Math.max(...waits) <= maxMs, `${Math.max(...waits)}`);
  },
);

Then('two flooding workspaces of weights 3 and 1 are served 3 to 1', () => {
  const simulation = new FairnessSimulation(16, (workspace) => (workspace === 'heavy' ? 3 : 1));
  const random = new SeededRandom(seed);
  for (let index = 0; index < 4_000; index += 1) {
    simulation.arrive('heavy', 1 + Math.floor(random.next() * 3), 100);
    simulation.arrive('light', 1 + Math.floor(random.next() * 3), 100);
    simulation.advance(5);
  }
  const ratio = simulation.startedUnits.get('heavy')! / simulation.startedUnits.get('light')!;
  assert.ok(Math.abs(ratio - 3) < 0.1, `${ratio}`);
});

Then('a request above the limit runs although small ones keep coming', () => {
  const simulation = new FairnessSimulation(8, equalWeight);
  for (let index = 0; index < 200; index += 1) {
    simulation.arrive(`small-${index % 20}`, 1, 100);
    simulation.advance(5);
    if (index === 50) simulation.arrive('large', 12, 100);
  }
  assert.equal(simulation.waits.get('large')?.length, 1);
});

Then('a full queue sheds the newest request of the heaviest workspace', () => {
  const simulation = new FairnessSimulation(1, equalWeight);
  simulation.arrive('a', 1, 1_000);
  simulation.arrive('a', 3, 1_000);
  const newest = simulation.arrive('a', 3, 1_000);
  const incoming = simulation.arrive('b', 1, 1_000);
  assert.equal(simulation.evict(incoming), newest);
  const heaviest = simulation.arrive('a', 4, 1_000);
  assert.equal(simulation.evict(heaviest), heaviest);
});

Then('a workspace that asks for more than it takes is not served less', () => {
  const queue = new FairQueue(equalWeight);
  const started = { honest: 0, cautious: 0 };
  const units = { honest: 1, cautious: 4 };
  const capacity = { limit: 100, inFlight: 0, fits: () => true };
  for (let index = 0; index < 1_000; index += 1) {
    queue.enqueue({ workspace: 'honest', units: units.honest });
    queue.enqueue({ workspace: 'cautious', units: units.cautious });
    const workspace = queue.dequeue(capacity)!.workspace as keyof typeof started;
    started[workspace] += 1;
    queue.start(workspace, units[workspace], capacity.limit);
    queue.finish(workspace, units[workspace], 1);
  }
  assert.ok(Math.abs(started.honest - started.cautious) <= 5, JSON.stringify(started));
});

/** Clock whose time changes only when it is set; sleeps never end. */
class ManualClock implements Clock {
  time = 0;

  now(): number {
    return this.time;
  }

  wall(): number {
    return this.time;
  }

  sleep(_ms: number, signal?: AbortSignal): Promise<void> {
    return new Promise((_, reject) => {
      signal?.addEventListener('abort', () => reject(new Overloaded('aborted', 1)));
    });
  }
}

function createGate(clock: Clock, maxQueue: number): EndpointGate {
  const policy = { ...policyDefaults, coldLimit: 2, maxLimit: 2, maxQueue };
  return new EndpointGate(policy, equalWeight, clock, new HistogramMetrics());
}

Then("an agent's gate refuses a hopeless wait at once with a retry-after", async () => {
  const clock = new ManualClock();
  const gate = createGate(clock, 1_000);
  const { signal } = new AbortController();
  for (let turn = 0; turn < 10; turn += 1) {
    const permit = await gate.acquire('a', 1, signal);
    clock.time += 100;
    permit.release(true);
  }
  const outcomes = Array.from({ length: 20 }, () =>
    gate.acquire('a', 1, signal).then(
      () => 'admitted',
      (error: unknown) => error,
    ),
  );
  const refused = await Promise.race([outcomes[19]!, Promise.resolve().then(() => outcomes[19])]);
  assert.ok(refused instanceof Overloaded);
  assert.ok(refused.retryAfterMs! >= 500, `${refused.retryAfterMs}`);
});

Then(
  "a workspace's only request waits at a slow endpoint and one behind others is refused",
  async () => {
    const clock = new ManualClock();
    const gate = createGate(clock, 1_000);
    const { signal } = new AbortController();
    for (let turn = 0; turn < 10; turn += 1) {
      const permit = await gate.acquire('a', 1, signal);
      clock.time += 400;
      permit.release(true);
    }
    const running = await Promise.all([gate.acquire('a', 1, signal), gate.acquire('b', 1, signal)]);
    const [next, second, hopeless] = ['next', 'second', 'hopeless'].map((workspace) =>
      gate.acquire(workspace, 1, signal).then(
        (permit) => permit.release(true),
        (error: unknown) => error,
      ),
    );
    running[0].release(true);
    assert.deepEqual(await Promise.all([next, second]), [undefined, undefined]);
    assert.ok((await hopeless) instanceof Overloaded);
  },
);

Then("a lighter workspace takes the place of a heavier one's newest waiter", async () => {
  const gate = createGate(new ManualClock(), 2);
  const { signal } = new AbortController();
  const first = await gate.acquire('heavy', 2, signal);
  const waiting = gate.acquire('heavy', 1, signal);
  const newest = gate.acquire('heavy', 1, signal);
  const light = gate.acquire('light', 1, signal);
  await assert.rejects(newest, Overloaded);
  first.release(true);
  await Promise.all([waiting, light]);
});
