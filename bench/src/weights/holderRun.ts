import { SeededRandom } from '@laburnumstream/common';
import { FetchFault, HolderTransfer, defaultHolderLimits, origin } from '@laburnumstream/decisions';
import type { ChunkFetch, WeightMember } from '@laburnumstream/decisions';
import { EventQueue } from './eventQueue.js';
import { FluidNetwork } from './fluidNetwork.js';

/** A transfer between sidecars in virtual time. Rates are in bits a second. */
export interface HolderWork {
  readonly seed: number;
  /** Members of each region. */
  readonly regions: readonly number[];
  /** Members of each region that hold everything from the start. */
  readonly holders: readonly number[];
  readonly chunks: number;
  readonly chunkBytes: number;
  readonly originRate: number;
  readonly linkRate: number;
  readonly regionRate: number;
  /** Part of its link that a member gives while it serves requests. */
  readonly servingShare: number;
  /** Transfers that a member gives at once, and fetches that it runs at once. */
  readonly givers: number;
  readonly window: number;
  /** Fetches that wait for their turn at a member at most. */
  readonly queue: number;
  /** Share of members that fall silent while the transfer runs. */
  readonly dying: number;
  /** Times between which the origin refuses all calls, in milliseconds; none when both are 0. */
  readonly originDown: { readonly fromMs: number; readonly untilMs: number };
}

/** What a run showed; times in milliseconds since its begin. */
export interface HolderOutcome {
  /** Times at which members were complete, in order. */
  readonly completeMs: readonly number[];
  /** Time at which the last chunk had left the origin. */
  readonly leftOriginMs: number;
  readonly incomplete: number;
  readonly originCopies: number;
  /** Copies that crossed between regions. */
  readonly crossedCopies: number;
}

const latencyMs = 1;
const gossipMs = 100;
const lookMs = 40;
const longestMs = 60_000;
const bitsPerByte = 8;
const secondMs = 1_000;

interface Node {
  readonly member: WeightMember;
  readonly transfer: HolderTransfer;
  giving: number;
  /** Fetches that wait for their turn. */
  readonly waiting: (() => void)[];
  isAlive: boolean;
  completeAt: number | undefined;
}

function bytesPerMs(bitsPerSecond: number): number {
  return bitsPerSecond / bitsPerByte / secondMs;
}

/** Runs the decision logic of all members of a transfer against links that are shared evenly. */
export class HolderRun {
  private readonly events = new EventQueue();

  private readonly network: FluidNetwork;

  private readonly nodes: Node[] = [];

  private readonly byName = new Map<string, Node>();

  private readonly random: SeededRandom;

  private originChunks = 0;

  private crossedChunks = 0;

  /** Chunks that some member has taken from the origin. */
  private readonly left = new Set<number>();

  private leftOriginAt = 0;

  constructor(private readonly work: HolderWork) {
    this.random = new SeededRandom(work.seed);
    const originChunkMs = work.chunkBytes / bytesPerMs(work.originRate);
    const limits = { ...defaultHolderLimits, originChunkMs };
    const rates = new Map<string, number>([['origin', bytesPerMs(work.originRate)]]);
    work.regions.forEach((count, region) => {
      work.regions.forEach((_, other) =>
        rates.set(`${region}>${other}`, region === other ? Infinity : bytesPerMs(work.regionRate)),
      );
      for (let index = 0; index < count; index += 1) {
        const name = `${region}-${index}`;
        const member = { name, region: String(region), dataCentre: String(region) };
        const transfer = new HolderTransfer(work.chunks, member, this.random, 0, limits);
        transfer.maxMemberFetches = work.window;
        const node = {
          member,
          transfer,
          giving: 0,
          waiting: [],
          isAlive: true,
          completeAt: undefined,
        };
        if (index < work.holders[region]!) {
          for (let chunk = 0; chunk < work.chunks; chunk += 1) transfer.markHeld(chunk);
        }
        this.nodes.push(node);
        this.byName.set(name, node);
        rates.set(`up ${name}`, bytesPerMs(work.linkRate) * work.servingShare);
        rates.set(`down ${name}`, bytesPerMs(work.linkRate));
      }
    });
    this.network = new FluidNetwork(this.events, rates);
  }

  run(): HolderOutcome {
    const { nodes, events, work } = this;
    const members = nodes.map(({ member }) => member);
    nodes.forEach(({ transfer }) => transfer.updateMembers(members));
    nodes.forEach((node) => {
      this.gossip(node);
      this.look(node);
      const dies = this.random.next() < work.dying;
      const diesAt = this.random.next() * secondMs * 2;
      if (dies) events.at(diesAt, () => Object.assign(node, { isAlive: false }));
    });
    const waits = (): Node[] =>
      nodes.filter(({ isAlive, transfer }) => isAlive && !transfer.isComplete);
    events.run(() => waits().length === 0 || events.now > longestMs);
    const times = nodes.flatMap(({ completeAt }) => (completeAt === undefined ? [] : [completeAt]));
    return {
      completeMs: times.sort((a, b) => a - b),
      leftOriginMs: this.leftOriginAt,
      incomplete: waits().length,
      originCopies: this.originChunks / work.chunks,
      crossedCopies: this.crossedChunks / work.chunks,
    };
  }

  private gossip(node: Node): void {
    if (node.isAlive) {
      const near = this.nodes.filter(({ member }) => member.region === node.member.region);
      near.forEach((other) => this.tell(node, other));
      node.transfer.remoteSources().forEach(({ name }) => this.tell(this.byName.get(name)!, node));
    }
    this.events.after(gossipMs, () => this.gossip(node));
  }

  private tell(from: Node, to: Node): void {
    if (from === to || !from.isAlive || !to.isAlive) return;
    const held = Uint8Array.from(from.transfer.held);
    this.events.after(latencyMs, () => {
      to.transfer.updateHolder(from.member.name, held, from.giving, this.events.now);
      this.begin(to, to.transfer.startFetches(this.events.now));
    });
  }

  private look(node: Node): void {
    if (node.isAlive) this.begin(node, node.transfer.hedgeFetches(this.events.now));
    this.events.after(lookMs, () => this.look(node));
  }

  private begin(node: Node, fetches: readonly ChunkFetch[]): void {
    fetches.forEach((fetch) => this.events.after(latencyMs, () => this.ask(node, fetch)));
  }

  private ask(node: Node, fetch: ChunkFetch): void {
    const { source, chunk } = fetch;
    const { chunkBytes, givers, queue } = this.work;
    const down = `down ${node.member.name}`;
    if (source === origin) {
      if (this.isOriginDown) {
        this.events.after(latencyMs, () => this.refused(node, fetch));
        return;
      }
      // The origin stands in the last region.
      const from = String(this.work.regions.length - 1);
      this.originChunks += 1;
      if (from !== node.member.region) this.crossedChunks += 1;
      const links = ['origin', `${from}>${node.member.region}`, down];
      this.network.send(chunkBytes, links, () => this.arrived(node, fetch));
      return;
    }
    const giver = this.byName.get(source.name)!;
    if (!giver.isAlive) return;
    const isBusy = giver.giving >= givers && giver.waiting.length >= queue;
    if (!giver.transfer.held[chunk] || isBusy) {
      this.events.after(latencyMs, () => this.refused(node, fetch));
      return;
    }
    if (giver.member.region !== node.member.region) this.crossedChunks += 1;
    if (giver.giving >= givers) giver.waiting.push(() => this.give(giver, node, fetch));
    else this.give(giver, node, fetch);
  }

  private get isOriginDown(): boolean {
    const { fromMs, untilMs } = this.work.originDown;
    return this.events.now >= fromMs && this.events.now < untilMs;
  }

  private refused(node: Node, fetch: ChunkFetch): void {
    node.transfer.fetchFailed(fetch, FetchFault.notYet, this.events.now);
    this.begin(node, node.transfer.startFetches(this.events.now));
  }

  private give(giver: Node, node: Node, fetch: ChunkFetch): void {
    Object.assign(giver, { giving: giver.giving + 1 });
    const region = `${giver.member.region}>${node.member.region}`;
    const links = [`up ${giver.member.name}`, region, `down ${node.member.name}`];
    this.network.send(this.work.chunkBytes, links, () => {
      Object.assign(giver, { giving: giver.giving - 1 });
      giver.waiting.shift()?.();
      this.arrived(node, fetch);
    });
  }

  private arrived(node: Node, fetch: ChunkFetch): void {
    const { now } = this.events;
    node.transfer.fetchSucceeded(fetch, now);
    if (fetch.source === origin && !this.left.has(fetch.chunk)) {
      this.left.add(fetch.chunk);
      this.leftOriginAt = now;
    }
    if (node.transfer.isComplete) Object.assign(node, { completeAt: node.completeAt ?? now });
    node.transfer
      .remoteReceivers(fetch.chunk)
      .forEach(({ name }) => this.tell(node, this.byName.get(name)!));
    this.begin(node, node.transfer.startFetches(now));
  }
}
