import { SeededRandom } from '@laburnumstream/common';
import {
  FetchFault,
  SwarmTransfer,
  Topology,
  Transfer,
  origin,
  sendingPriority,
  sourceOrders,
} from '@laburnumstream/decisions';
import type { ChunkFetch, ChunkTransfer, WeightMember } from '@laburnumstream/decisions';
import { EventQueue } from './eventQueue.js';
import { FifoLink } from './fifoLink.js';
import { PriorityLink } from './priorityLink.js';
import type { QueuedChunk } from './priorityLink.js';

/** Distribution schemes that can be compared on the same scenario. */
export const VirtualScheme = {
  trees: 'trees',
  rendezvousTrees: 'rendezvousTrees',
  chain: 'chain',
  originOnly: 'originOnly',
  swarm: 'swarm',
} as const;

/** One of the values of {@link VirtualScheme}. */
export type VirtualScheme = (typeof VirtualScheme)[keyof typeof VirtualScheme];

/** Parameters of a transfer in virtual time. */
export interface VirtualScenario {
  readonly scheme: VirtualScheme;
  readonly seed: number;
  readonly instances: number;
  readonly regions: number;
  readonly dataCentres: number;
  readonly chunks: number;
  /** Share of members that stop responding while the transfer runs. */
  readonly failingShare: number;
  /** Share of chunk transfers that arrive corrupt. */
  readonly corruptShare: number;
  /** Relative link rates of the origin, of an instance and between two regions. */
  readonly originCopies: number;
  readonly instanceCopies: number;
  readonly regionCopies: number;
}

/** Results of a run. */
export interface VirtualOutcome {
  /** Time until the last surviving member was complete, over the physical lower bound. */
  readonly timeOverBound: number;
  readonly originCopies: number;
  /** Copies transferred into remote regions, per remote region. */
  readonly remoteCopies: number;
  readonly incomplete: number;
  readonly corruptChunks: number;
  readonly failedMembers: number;
}

/** Transfer time of one copy over an instance's link: the lower bound at the target size. */
const copyMs = 30_000;
const latencyMs = 1;
/** A holder that cannot send a chunk within this time reports so to the receiver. */
const holderTimeoutMs = 1_500;
const hedgeIntervalMs = 500;
const maxRunMs = copyMs * 150;
const swarmNeighbours = 20;
const swarmSeeds = 8;
const swarmExchangeIntervalMs = 500;

interface PendingRequest extends QueuedChunk {
  readonly receiver: VirtualMember;
  readonly fetch: ChunkFetch;
}

interface VirtualMember {
  readonly member: WeightMember;
  readonly transfer: ChunkTransfer;
  readonly held: Uint8Array;
  readonly uplink: PriorityLink;
  readonly downlink: FifoLink;
  readonly pendingRequests: Map<number, PendingRequest[]>;
  isAlive: boolean;
}

function makeMembers({ instances, regions, dataCentres }: VirtualScenario): WeightMember[] {
  return Array.from({ length: instances }, (_, index) => {
    const home = index % dataCentres;
    const region = `region-${home % regions}`;
    return { name: `instance-${index}`, region, dataCentre: `data-centre-${home}` };
  });
}

/** Runs the transfer logic of all members in virtual time over modelled links. */
export class VirtualTransfer {
  private readonly events = new EventQueue();

  private readonly random: SeededRandom;

  private readonly members = new Map<string, VirtualMember>();

  private readonly originLink: PriorityLink;

  private readonly regionLinks = new Map<string, FifoLink>();

  private readonly instanceMs: number;

  private readonly requestsByFetch = new WeakMap<ChunkFetch, PendingRequest>();

  private incomplete = 0;

  private failedMembers = 0;

  private corruptChunks = 0;

  private finishedAt = 0;

  private readonly memberList: readonly WeightMember[];

  private readonly topology: Topology;

  constructor(private readonly scenario: VirtualScenario) {
    this.memberList = makeMembers(scenario);
    this.topology = new Topology(`version-${scenario.seed}`, this.memberList, 'region-0');
    this.random = new SeededRandom(scenario.seed);
    this.instanceMs = copyMs / scenario.chunks;
    const originMs = (copyMs * scenario.instanceCopies) / scenario.originCopies / scenario.chunks;
    this.originLink = new PriorityLink(this.events, originMs);
    this.addMembers();
    this.incomplete = this.members.size;
  }

  run(): VirtualOutcome {
    const all = [...this.members.values()];
    this.scheduleFailures(all);
    all.forEach((member) =>
      this.events.at(this.random.next() * latencyMs, () => this.startMember(member)),
    );
    const isDone = () => this.incomplete === 0 || this.events.now > maxRunMs;
    this.events.run(isDone);
    const { chunks } = this.scenario;
    const remote = [...this.regionLinks.values()].reduce(
      (sum, { transferredChunks }) => sum + transferredChunks,
      0,
    );
    return {
      timeOverBound: this.finishedAt / this.lowerBoundMs(),
      originCopies: this.originLink.sentChunks / chunks,
      remoteCopies: remote / chunks / Math.max(1, this.scenario.regions - 1),
      incomplete: this.incomplete,
      corruptChunks: this.corruptChunks,
      failedMembers: this.failedMembers,
    };
  }

  /** One copy must pass an instance's link, the origin's link and the links into a remote region. */
  private lowerBoundMs(): number {
    const { instanceCopies, originCopies, regionCopies, regions } = this.scenario;
    const intoRegion = regions > 1 ? regionCopies * (regions - 1) : Infinity;
    return (copyMs * instanceCopies) / Math.min(instanceCopies, originCopies, intoRegion);
  }

  private addMembers(): void {
    const { memberList, topology } = this;
    const { scheme, chunks } = this.scenario;
    memberList.forEach((member) => {
      const held = new Uint8Array(chunks);
      const transfer =
        scheme === VirtualScheme.swarm
          ? this.makeSwarm(memberList)
          : new Transfer(chunks, member, topology, sourceOrders[scheme]);
      this.members.set(member.name, {
        member,
        transfer,
        held,
        uplink: new PriorityLink(this.events, this.instanceMs),
        downlink: new FifoLink(this.instanceMs),
        pendingRequests: new Map(),
        isAlive: true,
      });
    });
  }

  private makeSwarm(memberList: readonly WeightMember[]): SwarmTransfer {
    const neighbours = Array.from({ length: swarmNeighbours }, () => ({
      member: memberList[Math.floor(this.random.next() * memberList.length)]!,
      held: new Uint8Array(this.scenario.chunks),
    }));
    const transfer = new SwarmTransfer(
      this.scenario.chunks,
      neighbours,
      this.members.size < swarmSeeds,
      this.random,
    );
    const exchange = (): void => {
      neighbours.forEach(({ member, held }) => held.set(this.members.get(member.name)!.held));
      if (!transfer.isComplete) this.events.after(swarmExchangeIntervalMs, exchange);
    };
    this.events.at(this.random.next() * swarmExchangeIntervalMs, exchange);
    return transfer;
  }

  private scheduleFailures(all: readonly VirtualMember[]): void {
    const count = Math.round(all.length * this.scenario.failingShare);
    const candidates = [...all];
    for (let index = 0; index < count; index += 1) {
      const [victim] = candidates.splice(Math.floor(this.random.next() * candidates.length), 1);
      this.events.at(this.random.next() * this.lowerBoundMs(), () => this.kill(victim!));
    }
  }

  private kill(victim: VirtualMember): void {
    if (!victim.transfer.isComplete) this.incomplete -= 1;
    this.failedMembers += 1;
    Object.assign(victim, { isAlive: false });
  }

  private startMember(member: VirtualMember): void {
    this.startFetches(member, member.transfer.startFetches(this.events.now));
    const check = (): void => {
      if (!member.isAlive || member.transfer.isComplete) return;
      this.startFetches(member, member.transfer.hedgeFetches(this.events.now));
      this.startFetches(member, member.transfer.startFetches(this.events.now));
      this.events.after(hedgeIntervalMs, check);
    };
    this.events.after(hedgeIntervalMs, check);
  }

  private startFetches(receiver: VirtualMember, fetches: readonly ChunkFetch[]): void {
    fetches.forEach((fetch) => {
      const { source, chunk } = fetch;
      if (source === origin) {
        const onTransferred = (): void => this.deliver(receiver, fetch, 'region-0');
        this.originLink.send({ priority: chunk, isPending: true, onTransferred });
        return;
      }
      const holder = this.members.get(source.name)!;
      this.events.after(latencyMs, () => this.request(holder, receiver, fetch));
    });
  }

  private request(holder: VirtualMember, receiver: VirtualMember, fetch: ChunkFetch): void {
    if (!holder.isAlive) return;
    const onTransferred = (): void => {
      if (holder.isAlive) this.deliver(receiver, fetch, holder.member.region);
    };
    const pending = {
      receiver,
      fetch,
      priority: sendingPriority(this.topology, receiver.member.name, fetch.chunk),
      isPending: true,
      onTransferred,
    };
    this.requestsByFetch.set(fetch, pending);
    if (holder.held[fetch.chunk]) holder.uplink.send(pending);
    else {
      const queued = holder.pendingRequests.get(fetch.chunk);
      if (queued) queued.push(pending);
      else holder.pendingRequests.set(fetch.chunk, [pending]);
    }
    this.events.after(holderTimeoutMs, () => this.rejectIfPending(holder, pending));
  }

  private rejectIfPending(holder: VirtualMember, pending: PendingRequest): void {
    const { receiver, fetch, isPending } = pending;
    if (!isPending || !holder.isAlive) return;
    Object.assign(pending, { isPending: false });
    if (!receiver.isAlive || receiver.transfer.isComplete) return;
    receiver.transfer.fetchFailed(fetch, FetchFault.notYet, this.events.now);
    this.startFetches(receiver, receiver.transfer.startFetches(this.events.now));
  }

  private deliver(receiver: VirtualMember, fetch: ChunkFetch, fromRegion: string): void {
    const { now } = this.events;
    const enteredAt = this.regionLink(fromRegion, receiver.member.region)?.transfer(now) ?? now;
    this.events.at(enteredAt, () => {
      this.events.at(receiver.downlink.transfer(this.events.now) + latencyMs, () =>
        this.receive(receiver, fetch),
      );
    });
  }

  private receive(receiver: VirtualMember, fetch: ChunkFetch): void {
    if (!receiver.isAlive || receiver.transfer.isComplete) return;
    const { now } = this.events;
    if (this.random.next() < this.scenario.corruptShare) {
      this.corruptChunks += 1;
      receiver.transfer.fetchFailed(fetch, FetchFault.corrupt, now);
    } else {
      receiver.transfer.fetchSucceeded(fetch, now).forEach((other) => {
        const pending = this.requestsByFetch.get(other);
        if (pending) pending.isPending = false;
      });
      this.storeChunk(receiver, fetch.chunk);
    }
    if (receiver.transfer.isComplete) {
      this.incomplete -= 1;
      this.finishedAt = now;
    } else this.startFetches(receiver, receiver.transfer.startFetches(now));
  }

  private storeChunk(receiver: VirtualMember, chunk: number): void {
    if (receiver.held[chunk]) return;
    const { held } = receiver;
    held[chunk] = 1;
    const queued = receiver.pendingRequests.get(chunk) ?? [];
    receiver.pendingRequests.delete(chunk);
    queued.forEach((pending) => receiver.uplink.send(pending));
  }

  private regionLink(from: string, to: string): FifoLink | undefined {
    if (from === to) return undefined;
    const key = `${from}/${to}`;
    const link = this.regionLinks.get(key) ?? new FifoLink(this.regionMs());
    this.regionLinks.set(key, link);
    return link;
  }

  private regionMs(): number {
    const { instanceCopies, regionCopies, chunks } = this.scenario;
    return (copyMs * instanceCopies) / regionCopies / chunks;
  }
}
