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
import { ReceivingLink } from './receivingLink.js';
import { SendingLink } from './sendingLink.js';
import type { Sending } from './sendingLink.js';

/** The schemes that can be run on the same work. */
export const VirtualScheme = {
  trees: 'trees',
  rendezvousTrees: 'rendezvousTrees',
  chain: 'chain',
  originOnly: 'originOnly',
  swarm: 'swarm',
} as const;

/** One of the values of {@link VirtualScheme}. */
export type VirtualScheme = (typeof VirtualScheme)[keyof typeof VirtualScheme];

/** The work of a run in virtual time. */
export interface VirtualWork {
  readonly scheme: VirtualScheme;
  readonly seed: number;
  readonly instances: number;
  readonly regions: number;
  readonly dataCentres: number;
  readonly chunks: number;
  /** Share of members that die silently while the transfer runs. */
  readonly dying: number;
  /** Share of chunk sendings that arrive corrupt. */
  readonly corrupt: number;
  /** Copies per unit of time: the links of the origin, of an instance and between two regions. */
  readonly originCopies: number;
  readonly instanceCopies: number;
  readonly regionCopies: number;
}

/** What a run showed. */
export interface VirtualOutcome {
  /** Time until the last surviving member was whole, as a multiple of the physical lower bound. */
  readonly timeOverBound: number;
  readonly originCopies: number;
  /** Copies that crossed into remote regions, a region. */
  readonly remoteCopies: number;
  readonly incomplete: number;
  readonly corrupt: number;
  readonly died: number;
}

/** Time in which an instance's link passes one copy, in milliseconds: the bound of the target. */
const copyMs = 30_000;
const latencyMs = 1;
/** A holder answers within this time whether it has the chunk, in milliseconds. */
const waitMs = 1_500;
const hedgeMs = 500;
const maxMs = copyMs * 150;
const swarmNeighbours = 20;
const swarmSeeds = 8;
const swarmExchangeMs = 500;

interface Waiter extends Sending {
  readonly by: VirtualMember;
  readonly fetch: ChunkFetch;
}

interface VirtualMember {
  readonly member: WeightMember;
  readonly transfer: ChunkTransfer;
  readonly held: Uint8Array;
  readonly out: SendingLink;
  readonly into: ReceivingLink;
  readonly waiters: Map<number, Waiter[]>;
  isAlive: boolean;
}

function membersOf({ instances, regions, dataCentres }: VirtualWork): WeightMember[] {
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

  private readonly originLink: SendingLink;

  private readonly regionLinks = new Map<string, ReceivingLink>();

  private readonly instanceMs: number;

  private readonly open = new WeakMap<ChunkFetch, Waiter>();

  private missing = 0;

  private died = 0;

  private corrupt = 0;

  private finishedAt = 0;

  private readonly list: readonly WeightMember[];

  private readonly topology: Topology;

  constructor(private readonly work: VirtualWork) {
    this.list = membersOf(work);
    this.topology = new Topology(`version-${work.seed}`, this.list, 'region-0');
    this.random = new SeededRandom(work.seed);
    this.instanceMs = copyMs / work.chunks;
    const originMs = (copyMs * work.instanceCopies) / work.originCopies / work.chunks;
    this.originLink = new SendingLink(this.events, originMs);
    this.addMembers();
    this.missing = this.members.size;
  }

  run(): VirtualOutcome {
    const all = [...this.members.values()];
    this.scheduleDeaths(all);
    all.forEach((each) => this.events.at(this.random.next() * latencyMs, () => this.begin(each)));
    const isDone = () => this.missing === 0 || this.events.now > maxMs;
    this.events.run(isDone);
    const { chunks } = this.work;
    const remote = [...this.regionLinks.values()].reduce((sum, { passed }) => sum + passed, 0);
    return {
      timeOverBound: this.finishedAt / this.boundMs(),
      originCopies: this.originLink.sent / chunks,
      remoteCopies: remote / chunks / Math.max(1, this.work.regions - 1),
      incomplete: this.missing,
      corrupt: this.corrupt,
      died: this.died,
    };
  }

  /** One copy has to pass an instance's link, the origin's link and the links into a remote region. */
  private boundMs(): number {
    const { instanceCopies, originCopies, regionCopies, regions } = this.work;
    const intoRegion = regions > 1 ? regionCopies * (regions - 1) : Infinity;
    return (copyMs * instanceCopies) / Math.min(instanceCopies, originCopies, intoRegion);
  }

  private addMembers(): void {
    const { list, topology } = this;
    const { scheme, chunks } = this.work;
    list.forEach((member) => {
      const held = new Uint8Array(chunks);
      const transfer =
        scheme === VirtualScheme.swarm
          ? this.swarmOf(list)
          : new Transfer(chunks, member, topology, sourceOrders[scheme]);
      this.members.set(member.name, {
        member,
        transfer,
        held,
        out: new SendingLink(this.events, this.instanceMs),
        into: new ReceivingLink(this.instanceMs),
        waiters: new Map(),
        isAlive: true,
      });
    });
  }

  private swarmOf(list: readonly WeightMember[]): SwarmTransfer {
    const neighbours = Array.from({ length: swarmNeighbours }, () => ({
      member: list[Math.floor(this.random.next() * list.length)]!,
      held: new Uint8Array(this.work.chunks),
    }));
    const transfer = new SwarmTransfer(
      this.work.chunks,
      neighbours,
      this.members.size < swarmSeeds,
      this.random,
    );
    const exchange = (): void => {
      neighbours.forEach(({ member, held }) => held.set(this.members.get(member.name)!.held));
      if (!transfer.isComplete) this.events.after(swarmExchangeMs, exchange);
    };
    this.events.at(this.random.next() * swarmExchangeMs, exchange);
    return transfer;
  }

  private scheduleDeaths(all: readonly VirtualMember[]): void {
    const count = Math.round(all.length * this.work.dying);
    const left = [...all];
    for (let index = 0; index < count; index += 1) {
      const [victim] = left.splice(Math.floor(this.random.next() * left.length), 1);
      this.events.at(this.random.next() * this.boundMs(), () => this.kill(victim!));
    }
  }

  private kill(victim: VirtualMember): void {
    if (!victim.transfer.isComplete) this.missing -= 1;
    this.died += 1;
    Object.assign(victim, { isAlive: false });
  }

  private begin(each: VirtualMember): void {
    this.launch(each, each.transfer.startFetches(this.events.now));
    const check = (): void => {
      if (!each.isAlive || each.transfer.isComplete) return;
      this.launch(each, each.transfer.hedgeFetches(this.events.now));
      this.launch(each, each.transfer.startFetches(this.events.now));
      this.events.after(hedgeMs, check);
    };
    this.events.after(hedgeMs, check);
  }

  private launch(by: VirtualMember, fetches: readonly ChunkFetch[]): void {
    fetches.forEach((fetch) => {
      const { source, chunk } = fetch;
      if (source === origin) {
        const passed = (): void => this.arrive(by, fetch, 'region-0');
        this.originLink.send({ priority: chunk, isOpen: true, passed });
        return;
      }
      const holder = this.members.get(source.name)!;
      this.events.after(latencyMs, () => this.request(holder, by, fetch));
    });
  }

  private request(holder: VirtualMember, by: VirtualMember, fetch: ChunkFetch): void {
    if (!holder.isAlive) return;
    const passed = (): void => {
      if (holder.isAlive) this.arrive(by, fetch, holder.member.region);
    };
    const waiter = {
      by,
      fetch,
      priority: sendingPriority(this.topology, by.member.name, fetch.chunk),
      isOpen: true,
      passed,
    };
    this.open.set(fetch, waiter);
    if (holder.held[fetch.chunk]) holder.out.send(waiter);
    else {
      const waiters = holder.waiters.get(fetch.chunk);
      if (waiters) waiters.push(waiter);
      else holder.waiters.set(fetch.chunk, [waiter]);
    }
    this.events.after(waitMs, () => this.answerNotYet(holder, waiter));
  }

  private answerNotYet(holder: VirtualMember, waiter: Waiter): void {
    const { by, fetch, isOpen } = waiter;
    if (!isOpen || !holder.isAlive) return;
    Object.assign(waiter, { isOpen: false });
    if (!by.isAlive || by.transfer.isComplete) return;
    by.transfer.fetchFailed(fetch, FetchFault.notYet, this.events.now);
    this.launch(by, by.transfer.startFetches(this.events.now));
  }

  private arrive(by: VirtualMember, fetch: ChunkFetch, fromRegion: string): void {
    const { now } = this.events;
    const crossed = this.regionLink(fromRegion, by.member.region)?.pass(now) ?? now;
    this.events.at(crossed, () => {
      this.events.at(by.into.pass(this.events.now) + latencyMs, () => this.receive(by, fetch));
    });
  }

  private receive(by: VirtualMember, fetch: ChunkFetch): void {
    if (!by.isAlive || by.transfer.isComplete) return;
    const { now } = this.events;
    if (this.random.next() < this.work.corrupt) {
      this.corrupt += 1;
      by.transfer.fetchFailed(fetch, FetchFault.corrupt, now);
    } else {
      by.transfer.fetchSucceeded(fetch, now).forEach((other) => {
        const waiter = this.open.get(other);
        if (waiter) waiter.isOpen = false;
      });
      this.hold(by, fetch.chunk);
    }
    if (by.transfer.isComplete) {
      this.missing -= 1;
      this.finishedAt = now;
    } else this.launch(by, by.transfer.startFetches(now));
  }

  private hold(by: VirtualMember, chunk: number): void {
    if (by.held[chunk]) return;
    const { held } = by;
    held[chunk] = 1;
    const waiters = by.waiters.get(chunk) ?? [];
    by.waiters.delete(chunk);
    waiters.forEach((waiter) => by.out.send(waiter));
  }

  private regionLink(from: string, to: string): ReceivingLink | undefined {
    if (from === to) return undefined;
    const key = `${from}/${to}`;
    const link = this.regionLinks.get(key) ?? new ReceivingLink(this.regionMs());
    this.regionLinks.set(key, link);
    return link;
  }

  private regionMs(): number {
    const { instanceCopies, regionCopies, chunks } = this.work;
    return (copyMs * instanceCopies) / regionCopies / chunks;
  }
}
