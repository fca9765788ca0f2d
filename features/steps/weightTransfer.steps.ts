import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { SwitchSlots } from '@laburnumstream/agent';
import type { Slot } from '@laburnumstream/agent';
import { SeededRandom } from '@laburnumstream/common';
import {
  FetchFault,
  Topology,
  Transfer,
  origin,
  slotPollIntervalMs,
  sourceName,
  sourceOrders,
} from '@laburnumstream/decisions';
import type { ChunkFetch, WeightMember } from '@laburnumstream/decisions';
import {
  CallFault,
  MemoryKeyValueStore,
  MemoryStoreContent,
  VirtualClock,
} from '@laburnumstream/standins';

interface WeightTransferWorld {
  weightTransfer: Transfer;
  firstFetch: ChunkFetch;
  weightFetches: ChunkFetch[];
  weightMembers: WeightMember[];
  weightViews: Map<string, Topology>;
  slotClock: VirtualClock;
  slotContent: MemoryStoreContent;
  slotStore: MemoryKeyValueStore;
  slots: SwitchSlots;
  slot: Slot;
  /** Whether the store still had the slot when the order under it was aborted. */
  wasStoredAtAbort: boolean;
  takenSlots: (Slot | undefined)[];
  slotCalls: string[];
}

const digest = 'version-1';
const region = 'north';
const secondMs = 1_000;
const pastDeadlineMs = 100_000;
const seed = 1;
/** Share of the members that another one does not know. */
const unknownShare = 0.1;

function createMembers(count: number): WeightMember[] {
  return Array.from({ length: count }, (_, index) => ({
    name: `member-${index}`,
    region,
    dataCentre: 'north-a',
  }));
}

Given(
  'a weight transfer of one chunk beside {int} other members',
  function prepare(this: WeightTransferWorld, others: number) {
    const topology = new Topology(digest, createMembers(others + 1), region);
    const last = topology.memberAt(0, others, 0)!;
    this.weightTransfer = new Transfer(1, last, topology, sourceOrders.trees);
    [this.firstFetch] = this.weightTransfer.startFetches(0) as [ChunkFetch];
  },
);

Given(
  'a weight transfer of one chunk at its first member beside {int} others',
  function prepare(this: WeightTransferWorld, others: number) {
    const topology = new Topology(digest, createMembers(others + 1), region);
    const first = topology.memberAt(0, 0, 0)!;
    this.weightTransfer = new Transfer(1, first, topology, sourceOrders.trees);
    [this.firstFetch] = this.weightTransfer.startFetches(0) as [ChunkFetch];
  },
);

Then('the origin is asked once more for it', function check(this: WeightTransferWorld) {
  assert.deepEqual(
    [this.firstFetch, ...this.weightFetches].map(({ source }) => source),
    [origin, origin],
  );
});

When('the origin sends a corrupt chunk again', function fail(this: WeightTransferWorld) {
  this.weightTransfer.fetchFailed(this.weightFetches[0]!, FetchFault.corrupt, 1);
  this.weightFetches = this.weightTransfer.startFetches(1);
});

When(
  'the first two sources stay silent past the deadline',
  function hedge(this: WeightTransferWorld) {
    const second = this.weightTransfer.hedgeFetches(pastDeadlineMs);
    assert.equal(second.length, 1);
    this.weightFetches = [this.firstFetch, ...second];
    this.weightFetches.push(...this.weightTransfer.hedgeFetches(2 * pastDeadlineMs));
  },
);

Then('a third source is asked', function check(this: WeightTransferWorld) {
  assert.equal(new Set(this.weightFetches.map(({ source }) => sourceName(source))).size, 3);
});

When('the first source sends a corrupt chunk', function corrupt(this: WeightTransferWorld) {
  this.weightTransfer.fetchFailed(this.firstFetch, FetchFault.corrupt, 1);
  this.weightFetches = this.weightTransfer.startFetches(1);
});

Then('another source is asked for it', function check(this: WeightTransferWorld) {
  assert.equal(this.weightFetches.length, 1);
  assert.notEqual(this.weightFetches[0]!.source, this.firstFetch.source);
});

When(
  'the first source answers that it does not hold the chunk yet',
  function wait(this: WeightTransferWorld) {
    this.weightTransfer.fetchFailed(this.firstFetch, FetchFault.notYet, 1);
    this.weightFetches = this.weightTransfer.startFetches(1);
  },
);

Then('the same source is asked again', function check(this: WeightTransferWorld) {
  assert.deepEqual(
    this.weightFetches.map(({ source }) => source),
    [this.firstFetch.source],
  );
});

Given(
  'a weight topology of {int} members in one data centre',
  function prepare(this: WeightTransferWorld, count: number) {
    this.weightMembers = createMembers(count);
  },
);

function getFirstSource(topology: Topology, member: WeightMember, chunk: number) {
  const [first] = sourceOrders.trees(topology, member, chunk);
  return first!;
}

Then(
  'over {int} chunks no member sends more than {float} times the mean',
  function check(this: WeightTransferWorld, chunks: number, most: number) {
    const topology = new Topology(digest, this.weightMembers, region);
    const sent = new Map<string, number>();
    for (let chunk = 0; chunk < chunks; chunk += 1) {
      this.weightMembers.forEach((member) => {
        const source = getFirstSource(topology, member, chunk);
        if (source !== origin) sent.set(source.name, (sent.get(source.name) ?? 0) + 1);
      });
    }
    const mean = (chunks * (this.weightMembers.length - 1)) / this.weightMembers.length;
    assert.ok(Math.max(...sent.values()) <= mean * most, `${Math.max(...sent.values())} / ${mean}`);
  },
);

When(
  'every source answers for {int} seconds that it does not hold the chunk yet',
  function wait(this: WeightTransferWorld, seconds: number) {
    this.weightFetches = [this.firstFetch];
    for (let second = 1; second <= seconds; second += 1) {
      const now = second * secondMs;
      const latest = this.weightFetches[this.weightFetches.length - 1]!;
      this.weightTransfer.fetchFailed(latest, FetchFault.notYet, now);
      this.weightFetches.push(...this.weightTransfer.startFetches(now));
    }
  },
);

Then('the origin was asked too', function check(this: WeightTransferWorld) {
  assert.ok(this.weightFetches.some(({ source }) => source === origin));
});

function openStore({ slotContent, slotClock }: WeightTransferWorld): MemoryKeyValueStore {
  return new MemoryKeyValueStore(slotContent, slotClock, new SeededRandom(seed));
}

/** Whether the store has the slot at the time of its clock. */
function isStored({ slotContent, slotClock, slot }: WeightTransferWorld): boolean {
  slotContent.expireLeases(slotClock.now());
  return slotContent.values.has(slot.key);
}

Given(
  'a roll-out slot with a lease of {int} ms',
  async function take(this: WeightTransferWorld, leaseMs: number) {
    this.slotClock = new VirtualClock();
    this.slotContent = new MemoryStoreContent();
    this.slotStore = openStore(this);
    this.slots = new SwitchSlots(this.slotStore, this.slotClock, leaseMs, 'a');
    const acquired = this.slots.acquire('group', 1, new AbortController().signal);
    const slot = await this.slotClock.runUntilSettled(acquired);
    assert.ok(slot);
    this.slot = slot;
    assert.ok(isStored(this));
  },
);

/** Runs an order that ends with its abort; returns whether the store still had the slot then. */
function runUntilAborted(world: WeightTransferWorld): Promise<boolean> {
  const order = world.slots.runWhileHeld(
    world.slot,
    new AbortController().signal,
    (signal) =>
      new Promise<boolean>((resolve) => {
        signal.addEventListener('abort', () => resolve(isStored(world)));
      }),
  );
  return world.slotClock.runUntilSettled(order);
}

When(
  'the store goes down while an order runs under it',
  async function run(this: WeightTransferWorld) {
    this.slotStore.isDown = true;
    this.wasStoredAtAbort = await runUntilAborted(this);
  },
);

When(
  'the store stops answering while an order runs under it',
  async function run(this: WeightTransferWorld) {
    this.slotStore.chooseFault = () => CallFault.lostRequest;
    this.wasStoredAtAbort = await runUntilAborted(this);
  },
);

Then('the order is aborted before the lease ends', function check(this: WeightTransferWorld) {
  assert.ok(this.wasStoredAtAbort);
  assert.ok(!this.slots.isHeld(this.slot));
});

When(
  'an order of {int} ms runs under it',
  async function run(this: WeightTransferWorld, ms: number) {
    const order = this.slots.runWhileHeld(this.slot, new AbortController().signal, (signal) =>
      this.slotClock.sleep(ms, signal),
    );
    await this.slotClock.runUntilSettled(order);
  },
);

Then('the order ends and the slot is still held', function check(this: WeightTransferWorld) {
  assert.ok(this.slots.isHeld(this.slot));
  assert.ok(isStored(this));
});

When('its holder is paused until the lease ends', async function pause(this: WeightTransferWorld) {
  assert.ok(this.slots.isHeld(this.slot));
  while (isStored(this)) await this.slotClock.runUntil(this.slotClock.now() + 1);
});

Then('the slot no longer counts as held', function check(this: WeightTransferWorld) {
  assert.ok(!this.slots.isHeld(this.slot));
});

When('half of them do not know the last member yet', function differ(this: WeightTransferWorld) {
  const whole = new Topology(digest, this.weightMembers, region);
  const lagging = new Topology(digest, this.weightMembers.slice(0, -1), region);
  const last = this.weightMembers[this.weightMembers.length - 1]!;
  this.weightViews = new Map(
    this.weightMembers.map((member, index) => [
      member.name,
      index % 2 === 0 || member === last ? whole : lagging,
    ]),
  );
});

When(
  'each does not know a tenth of the others, by seed {int}',
  function differ(this: WeightTransferWorld, viewSeed: number) {
    const random = new SeededRandom(viewSeed);
    this.weightViews = new Map(
      this.weightMembers.map((self) => {
        const known = this.weightMembers.filter(
          (member) => member === self || random.next() >= unknownShare,
        );
        return [self.name, new Topology(digest, known, region)];
      }),
    );
  },
);

/** Whether following the first sources of a chunk leads from a member back to itself. */
function isInCycle(
  { weightMembers, weightViews }: WeightTransferWorld,
  start: WeightMember,
  chunk: number,
): boolean {
  let current = start;
  for (let hop = 0; hop <= weightMembers.length; hop += 1) {
    const source = getFirstSource(weightViews.get(current.name)!, current, chunk);
    if (source === origin) return false;
    current = source;
    if (current.name === start.name) return true;
  }
  return false;
}

Then(
  'over {int} chunks no first sources form a circle',
  function check(this: WeightTransferWorld, chunks: number) {
    const chunksWithCycle = Array.from({ length: chunks }, (_, chunk) => chunk).filter((chunk) =>
      this.weightMembers.some((member) => isInCycle(this, member, chunk)),
    );
    assert.deepEqual(chunksWithCycle, []);
  },
);

When(
  'another endpoint asks for the slot {int} times',
  async function ask(this: WeightTransferWorld, times: number) {
    this.slotCalls = [];
    const store = openStore(this);
    store.chooseFault = (operation) => {
      this.slotCalls.push(operation);
      return CallFault.none;
    };
    const other = new SwitchSlots(store, this.slotClock, 4 * secondMs, 'b');
    this.takenSlots = [];
    for (let time = 0; time < times; time += 1) {
      const acquired = other.acquire('group', 1, new AbortController().signal);
      this.takenSlots.push(await this.slotClock.runUntilSettled(acquired));
    }
  },
);

Then(
  'it did not get the slot and cost the store {int} reads and no write',
  function check(this: WeightTransferWorld, reads: number) {
    assert.ok(this.takenSlots.every((slot) => slot === undefined));
    assert.deepEqual(this.slotCalls, new Array(reads).fill('list'));
  },
);

Then(
  '{int} endpoints that wait cost the store at most {int} polls a second',
  (endpoints: number, most: number) => {
    assert.ok((endpoints * secondMs) / slotPollIntervalMs(endpoints) <= most);
    assert.equal(slotPollIntervalMs(1), 200);
  },
);
