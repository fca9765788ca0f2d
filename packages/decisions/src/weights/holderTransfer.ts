import type { Random } from '@laburnumstream/common';
import { ChunkAssignment } from './chunkAssignment.js';
import { origin } from './sources.js';
import type { WeightSource } from './sources.js';
import type { WeightMember } from './weightMember.js';
import { FetchFault, sourceName } from './transfer.js';
import type { ChunkFetch, ChunkTransfer } from './transfer.js';

/** Limits of a transfer from known holders; times are in milliseconds. */
export interface HolderLimits {
  /**
   * Time without progress in a region after which its member of the next rank fetches a missing
   * chunk into it.
   */
  readonly fallbackDelayMs: number;
  /**
   * Time without progress after which the origin is asked for a chunk that another region is to
   * receive first.
   */
  readonly remoteOriginDelayMs: number;
  /** Time after which a fetch from a member is abandoned. */
  readonly memberTimeoutMs: number;
  /** Time after which a fetch from the origin is abandoned. */
  readonly originTimeoutMs: number;
  /** Time for which a member that does not respond is avoided. */
  readonly avoidMs: number;
  /** Delay before a source that is busy or does not hold the chunk yet is asked again. */
  readonly busyRetryMs: number;
  /** Maximum number of concurrent fetches from one member. */
  readonly maxFetchesPerMember: number;
  /** Maximum number of concurrent fetches from the origin, in addition to those from members. */
  readonly maxOriginFetches: number;
  /** Delay before the origin is asked again after a fetch from it failed. */
  readonly originRetryMs: number;
  /** Time that one chunk takes on the origin's link; requests to the origin are spaced by it. */
  readonly originChunkMs: number;
}

/** Limits of a transfer from known holders unless the caller sets others. */
export const defaultHolderLimits: HolderLimits = {
  fallbackDelayMs: 350,
  remoteOriginDelayMs: 600,
  memberTimeoutMs: 1_500,
  originTimeoutMs: 3_000,
  avoidMs: 2_000,
  busyRetryMs: 20,
  maxFetchesPerMember: 1,
  maxOriginFetches: 2,
  originRetryMs: 150,
  originChunkMs: 0,
};

/** Last known state of another member. */
interface HolderState {
  readonly member: WeightMember;
  /** One byte per chunk, 1 if the member holds it. */
  held: Uint8Array;
  /** Uploads in progress at the member, as it last reported. */
  activeUploads: number;
  avoidedUntil: number;
  /** Time until which it does not count as a holder of any chunk. */
  unreachableUntil: number;
  /** Fetches from it in flight. */
  activeFetches: number;
}

/**
 * The transfer of one version to one member that knows which chunks the others hold. Each chunk is
 * fetched into a region once, by the member that a hash selects, and spreads inside the region
 * rarest-first. Free of I/O: the owner runs the fetches and reports how they ended.
 */
export class HolderTransfer implements ChunkTransfer {
  /** One byte per chunk, 1 if it is held here. */
  readonly held: Uint8Array;

  /** Maximum number of concurrent fetches from members. */
  maxMemberFetches = 2;

  /** Fetches from the origin in flight. */
  private activeOriginFetches = 0;

  /** Time until which the origin is not asked, because a fetch from it failed. */
  private originAvoidedUntil = 0;

  private heldCount = 0;

  /** Fetches in flight by chunk. */
  private readonly active = new Map<number, ChunkFetch>();

  private readonly holders = new Map<string, HolderState>();

  /** Number of other members that hold each chunk: each decision asks it for many chunks. */
  private readonly copies: Uint16Array;

  /** The same for members of this member's region. */
  private readonly regionCopies: Uint16Array;

  private assignment: ChunkAssignment;

  /** For each chunk, the time before which it is not fetched from the origin again. */
  private readonly originRetryAt: Float64Array;

  /** Time at which a chunk last arrived in this member's region. */
  private regionProgressAt: number;

  /** Pairs of chunk and source name for which the source sent corrupt bytes. */
  private readonly corruptSources = new Set<string>();

  constructor(
    readonly chunks: number,
    private readonly self: WeightMember,
    private readonly random: Random,
    private readonly startedAt: number,
    private readonly limits: HolderLimits = defaultHolderLimits,
  ) {
    this.regionProgressAt = startedAt;
    this.held = new Uint8Array(chunks);
    this.originRetryAt = new Float64Array(chunks);
    this.copies = new Uint16Array(chunks);
    this.regionCopies = new Uint16Array(chunks);
    this.assignment = new ChunkAssignment(chunks, self, []);
  }

  get isComplete(): boolean {
    return this.heldCount === this.chunks;
  }

  get remaining(): number {
    return this.chunks - this.heldCount;
  }

  /** Whether a fetch is in flight and has not been abandoned. */
  isRunning(fetch: ChunkFetch): boolean {
    return this.active.get(fetch.chunk) === fetch;
  }

  /** Sets the participating members; this member is included even if it is not listed. */
  updateMembers(members: readonly WeightMember[]): void {
    const others = members.filter(({ name }) => name !== this.self.name);
    this.assignment = new ChunkAssignment(this.chunks, this.self, others);
    const known = new Set(others.map(({ name }) => name));
    this.holders.forEach((holder, name) => {
      if (known.has(name)) return;
      this.countCopies(holder, -1);
      this.holders.delete(name);
    });
    others.forEach((member) => {
      if (this.holders.has(member.name)) return;
      const held = new Uint8Array(this.chunks);
      this.holders.set(member.name, {
        member,
        held,
        activeUploads: 0,
        avoidedUntil: 0,
        unreachableUntil: 0,
        activeFetches: 0,
      });
    });
  }

  /** Applies a member's report of the chunks that it holds and its uploads in progress. */
  updateHolder(name: string, held: Uint8Array, activeUploads: number, now: number): void {
    const holder = this.holders.get(name);
    if (!holder) return;
    const hasNewChunk = held.some((flag, chunk) => flag === 1 && !this.isHeldInRegion(chunk));
    if (hasNewChunk && this.isLocal(holder.member)) this.regionProgressAt = now;
    this.countCopies(holder, -1);
    Object.assign(holder, { held: Uint8Array.from(held), activeUploads });
    this.countCopies(holder, 1);
  }

  /** Marks a chunk as held here. */
  markHeld(chunk: number): void {
    if (this.held[chunk]) return;
    this.held[chunk] = 1;
    this.heldCount += 1;
  }

  /** Marks a held chunk as missing again, after it was found damaged. */
  markLost(chunk: number): void {
    if (!this.held[chunk]) return;
    this.held[chunk] = 0;
    this.heldCount -= 1;
  }

  /** Members of other regions that fetch a chunk from this region, which receives it first. */
  remoteReceivers(chunk: number): WeightMember[] {
    return this.assignment.remoteReceivers(chunk);
  }

  /** Members of other regions from which this member fetches chunks into its own region. */
  remoteSources(): WeightMember[] {
    return this.assignment.remoteSources((chunk) => !this.held[chunk]);
  }

  startFetches(now: number): ChunkFetch[] {
    const fetches: ChunkFetch[] = [];
    const track = (fetch: ChunkFetch): void => {
      this.active.set(fetch.chunk, fetch);
      this.adjustActiveFetches(fetch.source, 1);
      fetches.push(fetch);
    };
    // Chunks that only the origin holds are lost if it fails: they don't wait for other fetches.
    while (this.activeOriginFetches < this.limits.maxOriginFetches) {
      const fetch = this.nextOriginFetch(now);
      if (!fetch) break;
      track(fetch);
    }
    while (this.active.size - this.activeOriginFetches < this.maxMemberFetches) {
      const fetch = this.nextLocalFetch(now) ?? this.nextRemoteFetch(now);
      if (!fetch) break;
      track(fetch);
    }
    return fetches;
  }

  /** Abandons overdue fetches and starts others. */
  hedgeFetches(now: number): ChunkFetch[] {
    [...this.active.values()]
      .filter((fetch) => now - fetch.startedAt > this.getTimeoutMs(fetch.source))
      .forEach((fetch) => this.fetchFailed(fetch, FetchFault.unreachable, now));
    return this.startFetches(now);
  }

  fetchSucceeded(fetch: ChunkFetch, now: number): readonly ChunkFetch[] {
    this.endFetch(fetch);
    if (!this.isHeldInRegion(fetch.chunk)) this.regionProgressAt = now;
    this.markHeld(fetch.chunk);
    return [];
  }

  fetchFailed(fetch: ChunkFetch, fault: FetchFault, now: number): void {
    if (!this.endFetch(fetch)) return;
    const { chunk, source } = fetch;
    const { avoidMs, busyRetryMs, originRetryMs } = this.limits;
    const waitMs = fault === FetchFault.notYet ? busyRetryMs : avoidMs;
    if (fault === FetchFault.corrupt) this.corruptSources.add(`${chunk}\n${sourceName(source)}`);
    if (source === origin) {
      if (fault === FetchFault.corrupt) {
        this.originRetryAt[chunk] = now + busyRetryMs;
        this.corruptSources.delete(`${chunk}\n${origin}`);
        return;
      }
      this.originAvoidedUntil = now + originRetryMs;
      // A fallback member waits again, else all of them would ask the origin once it is back.
      if (this.assignment.getRank(chunk) !== 0) this.regionProgressAt = now;
      return;
    }
    const holder = this.holders.get(source.name);
    if (!holder || fault === FetchFault.corrupt) return;
    holder.avoidedUntil = Math.max(holder.avoidedUntil, now + waitMs);
    if (fault === FetchFault.unreachable) holder.unreachableUntil = now + avoidMs;
  }

  /** A fetch of the rarest missing chunk that a member of the same region holds. */
  private nextLocalFetch(now: number): ChunkFetch | undefined {
    const local = this.usableHolders(now).filter(({ member }) => this.isLocal(member));
    if (local.length === 0) return undefined;
    let rarest = -1;
    let fewestCopies = Infinity;
    const first = Math.floor(this.random.next() * this.chunks);
    for (let step = 0; step < this.chunks; step += 1) {
      const chunk = (first + step) % this.chunks;
      if (this.isMissing(chunk)) {
        const copies = local.reduce((sum, holder) => sum + this.usableCopies(holder, chunk), 0);
        if (copies > 0 && copies < fewestCopies) {
          rarest = chunk;
          fewestCopies = copies;
        }
      }
    }
    if (rarest < 0) return undefined;
    return { chunk: rarest, source: this.leastLoadedSource(local, rarest), startedAt: now };
  }

  /** A fetch from another region of a chunk that its own region lacks, if it is its turn. */
  private nextRemoteFetch(now: number): ChunkFetch | undefined {
    const remote = this.usableHolders(now).filter(({ member }) => !this.isLocal(member));
    const stalledMs = now - this.regionProgressAt;
    for (let chunk = 0; chunk < this.chunks; chunk += 1) {
      const isTurn = stalledMs >= this.assignment.getRank(chunk) * this.limits.fallbackDelayMs;
      if (isTurn && this.isMissing(chunk) && !this.isHeldByRegionPeer(chunk)) {
        const holders = remote.filter((holder) => this.usableCopies(holder, chunk));
        if (holders.length > 0) {
          return { chunk, source: this.leastLoadedSource(holders, chunk), startedAt: now };
        }
      }
    }
    return undefined;
  }

  /** A fetch from the origin of a chunk without a known holder, if it is this member's turn. */
  private nextOriginFetch(now: number): ChunkFetch | undefined {
    if (now < this.originAvoidedUntil) return undefined;
    const { fallbackDelayMs, remoteOriginDelayMs } = this.limits;
    const stalledMs = now - this.regionProgressAt;
    for (let chunk = 0; chunk < this.chunks; chunk += 1) {
      if (!this.isMissing(chunk)) continue;
      const isFirstRegion = this.assignment.isFirstRegion(chunk);
      const waitMs =
        this.assignment.getRank(chunk) * fallbackDelayMs +
        (isFirstRegion ? 0 : remoteOriginDelayMs);
      const isTurn =
        stalledMs >= waitMs && this.isOriginTurn(chunk, now) && now >= this.originRetryAt[chunk]!;
      if (isTurn && !this.hasReachableHolder(chunk, now)) {
        return { chunk, source: origin, startedAt: now };
      }
    }
    return undefined;
  }

  /** The origin serves chunks in sequence: the first ones spread while others still arrive. */
  private isOriginTurn(chunk: number, now: number): boolean {
    return now - this.startedAt >= chunk * this.limits.originChunkMs;
  }

  private isMissing(chunk: number): boolean {
    return !this.held[chunk] && !this.active.has(chunk);
  }

  private isHeldInRegion(chunk: number): boolean {
    return this.held[chunk] === 1 || this.isHeldByRegionPeer(chunk);
  }

  /** Whether any member not considered unreachable is known to hold a chunk. */
  private hasReachableHolder(chunk: number, now: number): boolean {
    if (this.copies[chunk] === 0) return false;
    for (const holder of this.holders.values()) {
      if (now >= holder.unreachableUntil && this.usableCopies(holder, chunk) === 1) return true;
    }
    return false;
  }

  private isHeldByRegionPeer(chunk: number): boolean {
    return this.regionCopies[chunk]! > 0;
  }

  private countCopies({ member, held }: HolderState, by: 1 | -1): void {
    const isLocal = this.isLocal(member);
    held.forEach((flag, chunk) => {
      if (flag !== 1) return;
      this.copies[chunk]! += by;
      if (isLocal) this.regionCopies[chunk]! += by;
    });
  }

  private isLocal({ region }: WeightMember): boolean {
    return region === this.self.region;
  }

  /** Copies of a chunk that can be fetched from a holder: 0 or 1. */
  private usableCopies({ member, held }: HolderState, chunk: number): number {
    if (held[chunk] !== 1) return 0;
    if (this.corruptSources.size === 0) return 1;
    return this.corruptSources.has(`${chunk}\n${member.name}`) ? 0 : 1;
  }

  private usableHolders(now: number): HolderState[] {
    return [...this.holders.values()].filter(
      ({ avoidedUntil, activeFetches }) =>
        now >= avoidedUntil && activeFetches < this.limits.maxFetchesPerMember,
    );
  }

  private leastLoadedSource(holders: readonly HolderState[], chunk: number): WeightSource {
    let best: HolderState | undefined;
    let lowestLoad = Infinity;
    holders.forEach((holder) => {
      if (!this.usableCopies(holder, chunk)) return;
      const load = holder.activeUploads + holder.activeFetches + this.random.next();
      if (load >= lowestLoad) return;
      best = holder;
      lowestLoad = load;
    });
    return best!.member;
  }

  private getTimeoutMs(source: WeightSource): number {
    return source === origin ? this.limits.originTimeoutMs : this.limits.memberTimeoutMs;
  }

  private endFetch(fetch: ChunkFetch): boolean {
    if (this.active.get(fetch.chunk) !== fetch) return false;
    this.active.delete(fetch.chunk);
    this.adjustActiveFetches(fetch.source, -1);
    return true;
  }

  private adjustActiveFetches(source: WeightSource, by: number): void {
    if (source === origin) {
      this.activeOriginFetches += by;
      return;
    }
    const holder = this.holders.get(source.name);
    if (holder) holder.activeFetches += by;
  }
}
