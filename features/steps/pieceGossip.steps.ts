import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import type { PieceNews } from '@laburnumstream/protocol';
import { HeldVersion, PieceGossip } from '@laburnumstream/sidecar';
import { VirtualClock } from '@laburnumstream/standins';

interface GossipingAgent {
  readonly name: string;
  readonly gossip: PieceGossip;
  readonly held: HeldVersion;
  /** Names of the agents whose pieces it knows. */
  readonly known: Set<string>;
  received: number;
}

interface GossipWorld {
  gossipClock: VirtualClock;
  gossipAgents: readonly GossipingAgent[];
}

const model = 'm1';
const version = 2;
const latencyMs = 1;

function createAgent(world: GossipWorld, index: number, count: number): GossipingAgent {
  const toMember = (_: unknown, host: number) => ({
    name: `10.0.0.${host + 1}`,
    dataCentre: 'a',
    region: 'r',
  });
  const members = Array.from({ length: count }, toMember);
  const self = members[index]!;
  const held = new HeldVersion({ model, version, digests: members.map(({ name }) => name) });
  held.add(index, new Uint8Array(1));
  const send = ({ value }: { value?: unknown }, host: string): void => {
    const receiver = world.gossipAgents.find(({ name }) => name === host)!;
    receiver.received += 1;
    world.gossipClock.schedule(world.gossipClock.now() + latencyMs, () =>
      receiver.gossip.receive(value as PieceNews, self.name),
    );
  };
  const gossip = new PieceGossip(
    // The own member stands last, as in the view of an agent.
    { model, self, members: [...members.filter((member) => member !== self), self] },
    { get: (wanted) => (wanted === version ? held : undefined) },
    { activeTransfers: 0 },
    { send },
    world.gossipClock,
  );
  return { name: self.name, gossip, held, known: new Set([self.name]), received: 0 };
}

Given(
  '{int} agents of a region, each with one piece of a version',
  function agents(this: GossipWorld, count: number) {
    this.gossipClock = new VirtualClock();
    this.gossipAgents = Array.from({ length: count }, (_, index) =>
      createAgent(this, index, count),
    );
  },
);

When('they exchange news for {int} ms', async function exchange(this: GossipWorld, ms: number) {
  const aborts = this.gossipAgents.map(() => new AbortController());
  const ended = this.gossipAgents.map(({ gossip, held, known }, index) =>
    gossip.run(
      {
        held,
        remoteReceivers: () => [],
        remoteSources: () => [],
        updateHeldPieces: (name) => known.add(name),
      },
      aborts[index]!.signal,
    ),
  );
  await this.gossipClock.runUntil(ms);
  aborts.forEach((abort) => abort.abort());
  await Promise.all(ended);
});

Then('each of them knows the holder of each piece', function known(this: GossipWorld) {
  const counts = this.gossipAgents.map(({ known: names }) => names.size);
  assert.equal(Math.min(...counts), this.gossipAgents.length, counts.join());
});

Then(
  'none of them receives over {float} times as many messages as the average',
  function even(this: GossipWorld, factor: number) {
    const counts = this.gossipAgents.map(({ received }) => received);
    const mean = counts.reduce((sum, count) => sum + count, 0) / counts.length;
    assert.ok(Math.max(...counts) <= mean * factor, `${mean} on average: ${counts.join()}`);
  },
);

Then('each of them receives at most {int} messages', function few(this: GossipWorld, most: number) {
  const counts = this.gossipAgents.map(({ received }) => received);
  assert.ok(Math.max(...counts) <= most, counts.join());
});
