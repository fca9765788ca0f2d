import { SeededRandom } from '@laburnumstream/common';
import { FetchFault, HolderTransfer, defaultHolderLimits, origin } from '@laburnumstream/decisions';
import type { ChunkFetch, WeightMember } from '@laburnumstream/decisions';
import { EventQueue } from './eventQueue.js';
import { FluidNetwork } from './fluidNetwork.js';

/** Parameters of a transfer between sidecars in virtual time. Rates are in bits per second. */
export interface HolderScenario {
  readonly seed: number;
  /** Number of members in each region. */
  readonly regions: readonly number[];
  /** Number of members in each region that hold all chunks from the start. */
  readonly holders: readonly number[];
  readonly chunks: number;
  readonly chunkBytes: number;
  readonly originRate: number;
  readonly linkRate: number;
  readonly regionRate: number;
  /** Share of its link that a member uses for uploads while it serves requests. */
  readonly servingShare: number;
  /** Concurrent uploads and concurrent fetches of a member. */
  readonly maxUploads: number;
  readonly fetchWindow: number;
  /** Maximum length of a member's upload queue. */
  readonly maxQueuedUploads: number;
  /** Share of members that stop responding while the transfer runs. */
  readonly failingShare: number;
  /** Period in which the origin refuses all calls; none when both times are 0. */
  readonly originDown: { readonly fromMs: number; readonly untilMs: number };
}

/** Results of a run; times are in milliseconds since its start. */
export interface HolderOutcome {
  /** Sorted completion times of the members. */
  readonly completeMs: readonly number[];
  /** Time at which the last distinct chunk was fetched from the origin. */
  readonly originDoneMs: number;
  readonly incomplete: number;
  readonly originCopies: number;
  /** Copies transferred between regions. */
  readonly crossRegionCopies: number;
}

const latencyMs = 1;
const gossipMs = 100;
const hedgeCheckMs = 40;
const maxRunMs = 60_000;
const bitsPerByte = 8;
const secondMs = 1_000;

interface Node {
  readonly member: WeightMember;
  readonly transfer: HolderTransfer;
  uploads: number;
  /** Accepted fetches that wait for an upload slot. */
  readonly queuedUploads: (() => void)[];
  isAlive: boolean;
  completedAt: number | undefined;
}

function bytesPerMs(bitsPerSecond: number): number {
  return bitsPerSecond / bitsPerByte / secondMs;
}

/** Runs the transfer logic of all members over evenly shared links in virtual time. */
export class HolderRun {
  private readonly events = new EventQueue();

  private readonly network: FluidNetwork;

  private readonly nodes: Node[] = [];

  private readonly nodesByName = new Map<string, Node>();

  private readonly random: SeededRandom;

  private originChunks = 0;

  private crossRegionChunks = 0;

  /** Distinct chunks that were fetched from the origin. */
  private readonly chunksFromOrigin = new Set<number>();

  private originDoneAt = 0;

  constructor(private readonly scenario: HolderScenario) {
    this.random = new SeededRandom(scenario.seed);
    const originChunkMs = scenario.chunkBytes / bytesPerMs(scenario.originRate);
    const limits = { ...defaultHolderLimits, originChunkMs };
    const rates = new Map<string, number>([['origin', bytesPerMs(scenario.originRate)]]);
    scenario.regions.forEach((count, region) => {
      scenario.regions.forEach((_, other) =>
        rates.set(
          `${region}>${other}`,
          region === other ? Infinity : bytesPerMs(scenario.regionRate),
        ),
      );
      for (let index = 0; index < count; index += 1) {
        const name = `${region}-${index}`;
        const member = { name, region: String(region), dataCentre: String(region) };
        const transfer = new HolderTransfer(scenario.chunks, member, this.random, 0, limits);
        transfer.maxMemberFetches = scenario.fetchWindow;
        const node = {
          member,
          transfer,
          uploads: 0,
          queuedUploads: [],
          isAlive: true,
          completedAt: undefined,
        };
        if (index < scenario.holders[region]!) {
          for (let chunk = 0; chunk < scenario.chunks; chunk += 1) transfer.markHeld(chunk);
        }
        this.nodes.push(node);
        this.nodesByName.set(name, node);
        rates.set(`up ${name}`, bytesPerMs(scenario.linkRate) * scenario.servingShare);
        rates.set(`down ${name}`, bytesPerMs(scenario.linkRate));
      }
    });
    this.network = new FluidNetwork(this.events, rates);
  }

  run(): HolderOutcome {
    const { nodes, events, scenario } = this;
    const members = nodes.map(({ member }) => member);
    nodes.forEach(({ transfer }) => transfer.updateMembers(members));
    nodes.forEach((node) => {
      this.gossip(node);
      this.checkHedges(node);
      const fails = this.random.next() < scenario.failingShare;
      const failsAt = this.random.next() * secondMs * 2;
      if (fails) events.at(failsAt, () => Object.assign(node, { isAlive: false }));
    });
    const incompleteNodes = (): Node[] =>
      nodes.filter(({ isAlive, transfer }) => isAlive && !transfer.isComplete);
    events.run(() => incompleteNodes().length === 0 || events.now > maxRunMs);
    const times = nodes.flatMap(({ completedAt }) =>
      completedAt === undefined ? [] : [completedAt],
    );
    return {
      completeMs: times.sort((a, b) => a - b),
      originDoneMs: this.originDoneAt,
      incomplete: incompleteNodes().length,
      originCopies: this.originChunks / scenario.chunks,
      crossRegionCopies: this.crossRegionChunks / scenario.chunks,
    };
  }

  private gossip(node: Node): void {
    if (node.isAlive) {
      const localNodes = this.nodes.filter(({ member }) => member.region === node.member.region);
      localNodes.forEach((other) => this.announce(node, other));
      node.transfer
        .remoteSources()
        .forEach(({ name }) => this.announce(this.nodesByName.get(name)!, node));
    }
    this.events.after(gossipMs, () => this.gossip(node));
  }

  private announce(from: Node, to: Node): void {
    if (from === to || !from.isAlive || !to.isAlive) return;
    const held = Uint8Array.from(from.transfer.held);
    this.events.after(latencyMs, () => {
      to.transfer.updateHolder(from.member.name, held, from.uploads, this.events.now);
      this.startFetches(to, to.transfer.startFetches(this.events.now));
    });
  }

  private checkHedges(node: Node): void {
    if (node.isAlive) this.startFetches(node, node.transfer.hedgeFetches(this.events.now));
    this.events.after(hedgeCheckMs, () => this.checkHedges(node));
  }

  private startFetches(node: Node, fetches: readonly ChunkFetch[]): void {
    fetches.forEach((fetch) => this.events.after(latencyMs, () => this.request(node, fetch)));
  }

  private request(node: Node, fetch: ChunkFetch): void {
    const { source, chunk } = fetch;
    const { chunkBytes, maxUploads, maxQueuedUploads } = this.scenario;
    const downlink = `down ${node.member.name}`;
    if (source === origin) {
      if (this.isOriginDown) {
        this.events.after(latencyMs, () => this.onRefused(node, fetch));
        return;
      }
      // The origin is in the last region.
      const from = String(this.scenario.regions.length - 1);
      this.originChunks += 1;
      if (from !== node.member.region) this.crossRegionChunks += 1;
      const links = ['origin', `${from}>${node.member.region}`, downlink];
      this.network.send(chunkBytes, links, () => this.onArrived(node, fetch));
      return;
    }
    const holder = this.nodesByName.get(source.name)!;
    if (!holder.isAlive) return;
    const isBusy = holder.uploads >= maxUploads && holder.queuedUploads.length >= maxQueuedUploads;
    if (!holder.transfer.held[chunk] || isBusy) {
      this.events.after(latencyMs, () => this.onRefused(node, fetch));
      return;
    }
    if (holder.member.region !== node.member.region) this.crossRegionChunks += 1;
    if (holder.uploads >= maxUploads)
      holder.queuedUploads.push(() => this.upload(holder, node, fetch));
    else this.upload(holder, node, fetch);
  }

  private get isOriginDown(): boolean {
    const { fromMs, untilMs } = this.scenario.originDown;
    return this.events.now >= fromMs && this.events.now < untilMs;
  }

  private onRefused(node: Node, fetch: ChunkFetch): void {
    node.transfer.fetchFailed(fetch, FetchFault.notYet, this.events.now);
    this.startFetches(node, node.transfer.startFetches(this.events.now));
  }

  private upload(holder: Node, node: Node, fetch: ChunkFetch): void {
    Object.assign(holder, { uploads: holder.uploads + 1 });
    const region = `${holder.member.region}>${node.member.region}`;
    const links = [`up ${holder.member.name}`, region, `down ${node.member.name}`];
    this.network.send(this.scenario.chunkBytes, links, () => {
      Object.assign(holder, { uploads: holder.uploads - 1 });
      holder.queuedUploads.shift()?.();
      this.onArrived(node, fetch);
    });
  }

  private onArrived(node: Node, fetch: ChunkFetch): void {
    const { now } = this.events;
    node.transfer.fetchSucceeded(fetch, now);
    if (fetch.source === origin && !this.chunksFromOrigin.has(fetch.chunk)) {
      this.chunksFromOrigin.add(fetch.chunk);
      this.originDoneAt = now;
    }
    if (node.transfer.isComplete) Object.assign(node, { completedAt: node.completedAt ?? now });
    node.transfer
      .remoteReceivers(fetch.chunk)
      .forEach(({ name }) => this.announce(node, this.nodesByName.get(name)!));
    this.startFetches(node, node.transfer.startFetches(now));
  }
}
