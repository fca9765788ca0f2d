import type { Random } from '@laburnumstream/common';
import { ChunkRegions } from './chunkRegions.js';
import { origin } from './sources.js';
import type { WeightSource } from './sources.js';
import type { WeightMember } from './topology.js';
import { FetchFault, sourceName } from './transfer.js';
import type { ChunkFetch, ChunkTransfer } from './transfer.js';

/** Limits of a transfer from known holders, in milliseconds but for counts. */
export interface HolderLimits {
  /**
   * Time without a new chunk in a region after which its next member brings in one that none of them
   * holds.
   */
  readonly deputyMs: number;
  /** Time without a new chunk after which the origin is asked for one that another region brings. */
  readonly remoteMs: number;
  /** Time after which a fetch from a member is given up. */
  readonly memberTimeoutMs: number;
  /** Time after which a fetch from the origin is given up. */
  readonly originTimeoutMs: number;
  /** Time for which a source that does not answer is avoided. */
  readonly avoidMs: number;
  /** Time for which a source that is busy is not asked again. */
  readonly busyMs: number;
  /** Fetches from one member at once. */
  readonly perMember: number;
  /** Fetches from the origin at once, besides those from members. */
  readonly originWindow: number;
  /** Time for which the origin is not asked again after it did not answer. */
  readonly originPauseMs: number;
  /** Time in which the origin's link passes one chunk: members ask it one after the other. */
  readonly originChunkMs: number;
}

/** Limits where nothing else is set. */
export const holderDefaults: HolderLimits = {
  deputyMs: 350,
  remoteMs: 600,
  memberTimeoutMs: 1_500,
  originTimeoutMs: 3_000,
  avoidMs: 2_000,
  busyMs: 20,
  perMember: 1,
  originWindow: 2,
  originPauseMs: 150,
  originChunkMs: 0,
};

/** What is known of another member. */
interface Holder {
  readonly member: WeightMember;
  /** One byte for each chunk, 1 for those that it holds. */
  held: Uint8Array;
  /** Transfers that it was giving when it last said so. */
  giving: number;
  avoidedUntil: number;
  /** Time until which it does not count as a source at all. */
  unreachableUntil: number;
  /** Fetches from it that run. */
  active: number;
}

/**
 * The transfer of one version to one member that knows which chunks the others hold: each chunk
 * comes into a region once, brought by the member that a hash chooses, and spreads inside it from
 * holder to holder, the rarest first. Pure: the owner runs the fetches and tells how they ended.
 */
export class HolderTransfer implements ChunkTransfer {
  /** One byte for each chunk, 1 for those that are held here. */
  readonly held: Uint8Array;

  /** Fetches from members at once. */
  window = 2;

  /** Fetches from the origin that run. */
  private originActive = 0;

  /** Time before which the origin is not asked, as it did not answer. */
  private originAvoidedUntil = 0;

  private heldCount = 0;

  private readonly active = new Map<number, ChunkFetch>();

  private readonly holders = new Map<string, Holder>();

  /** Who brings each chunk into which region first. */
  private regions: ChunkRegions;

  /** Time before which a chunk is not asked of the origin again. */
  private readonly originNotBefore: Float64Array;

  /** Time of the last chunk that came into this member's region. */
  private progressAt: number;

  /** Sources that gave a wrong chunk. */
  private readonly wrong = new Set<string>();

  constructor(
    readonly chunks: number,
    private readonly self: WeightMember,
    private readonly random: Random,
    private readonly startedAt: number,
    private readonly limits: HolderLimits = holderDefaults,
  ) {
    this.progressAt = startedAt;
    this.held = new Uint8Array(chunks);
    this.originNotBefore = new Float64Array(chunks);
    this.regions = new ChunkRegions(chunks, self, []);
  }

  get isComplete(): boolean {
    return this.heldCount === this.chunks;
  }

  get remaining(): number {
    return this.chunks - this.heldCount;
  }

  /** Whether a fetch is still waited for. */
  isRunning(fetch: ChunkFetch): boolean {
    return this.active.get(fetch.chunk) === fetch;
  }

  /** Takes the members that take part; this one counts even when it is not listed. */
  regroup(members: readonly WeightMember[]): void {
    const others = members.filter(({ name }) => name !== this.self.name);
    this.regions = new ChunkRegions(this.chunks, this.self, others);
    const known = new Set(others.map(({ name }) => name));
    [...this.holders.keys()].forEach((name) => known.has(name) || this.holders.delete(name));
    others.forEach((member) => {
      if (this.holders.has(member.name)) return;
      const held = new Uint8Array(this.chunks);
      this.holders.set(member.name, {
        member,
        held,
        giving: 0,
        avoidedUntil: 0,
        unreachableUntil: 0,
        active: 0,
      });
    });
  }

  /** A member said which chunks it holds. */
  learn(name: string, held: Uint8Array, giving: number, now: number): void {
    const holder = this.holders.get(name);
    if (!holder) return;
    const isNews = held.some((flag, chunk) => flag === 1 && !this.isInRegion(chunk));
    if (isNews && this.isNear(holder.member)) this.progressAt = now;
    Object.assign(holder, { held, giving });
  }

  /** A chunk is held here already. */
  has(chunk: number): void {
    if (this.held[chunk]) return;
    this.held[chunk] = 1;
    this.heldCount += 1;
  }

  /** A chunk that was held has turned out to be spoilt. */
  lost(chunk: number): void {
    if (!this.held[chunk]) return;
    this.held[chunk] = 0;
    this.heldCount -= 1;
  }

  /** Members of other regions that wait for a chunk that this region brings in first. */
  waitingElsewhere(chunk: number): WeightMember[] {
    return this.regions.waitingElsewhere(chunk);
  }

  /** Members of other regions that bring in chunks which this member is to take from them. */
  askedElsewhere(): WeightMember[] {
    return this.regions.sources((chunk) => !this.held[chunk]);
  }

  start(now: number): ChunkFetch[] {
    const fetches: ChunkFetch[] = [];
    const begin = (fetch: ChunkFetch): void => {
      this.active.set(fetch.chunk, fetch);
      this.countActive(fetch.source, 1);
      fetches.push(fetch);
    };
    // What only the origin has is at risk until it has left it, so that goes beside all else.
    while (this.originActive < this.limits.originWindow) {
      const fetch = this.fromOrigin(now);
      if (!fetch) break;
      begin(fetch);
    }
    while (this.active.size - this.originActive < this.window) {
      const fetch = this.fromNear(now) ?? this.fromAfar(now);
      if (!fetch) break;
      begin(fetch);
    }
    return fetches;
  }

  /** Gives up fetches that take too long and starts others. */
  hedge(now: number): ChunkFetch[] {
    [...this.active.values()]
      .filter((fetch) => now - fetch.startedAt > this.timeoutOf(fetch.source))
      .forEach((fetch) => this.failed(fetch, FetchFault.unreachable, now));
    return this.start(now);
  }

  succeeded(fetch: ChunkFetch, now: number): readonly ChunkFetch[] {
    this.end(fetch);
    if (!this.isInRegion(fetch.chunk)) this.progressAt = now;
    this.has(fetch.chunk);
    return [];
  }

  failed(fetch: ChunkFetch, fault: FetchFault, now: number): void {
    if (!this.end(fetch)) return;
    const { chunk, source } = fetch;
    const { avoidMs, busyMs, originPauseMs } = this.limits;
    const waitMs = fault === FetchFault.notYet ? busyMs : avoidMs;
    if (fault === FetchFault.corrupt) this.wrong.add(`${chunk}\n${sourceName(source)}`);
    if (source === origin) {
      if (fault === FetchFault.corrupt) {
        this.originNotBefore[chunk] = now + busyMs;
        this.wrong.delete(`${chunk}\n${origin}`);
        return;
      }
      this.originAvoidedUntil = now + originPauseMs;
      // A deputy waits anew: the others would all ask an origin that comes back.
      if (this.regions.rank(chunk) !== 0) this.progressAt = now;
      return;
    }
    const holder = this.holders.get(source.name);
    if (!holder || fault === FetchFault.corrupt) return;
    holder.avoidedUntil = Math.max(holder.avoidedUntil, now + waitMs);
    if (fault === FetchFault.unreachable) holder.unreachableUntil = now + avoidMs;
  }

  /** The rarest chunk that a near member holds. */
  private fromNear(now: number): ChunkFetch | undefined {
    const near = this.usableHolders(now).filter(({ member }) => this.isNear(member));
    if (near.length === 0) return undefined;
    let best = -1;
    let fewest = Infinity;
    const from = Math.floor(this.random.next() * this.chunks);
    for (let step = 0; step < this.chunks; step += 1) {
      const chunk = (from + step) % this.chunks;
      if (this.isMissing(chunk)) {
        const count = near.reduce((sum, holder) => sum + this.gives(holder, chunk), 0);
        if (count > 0 && count < fewest) {
          best = chunk;
          fewest = count;
        }
      }
    }
    if (best < 0) return undefined;
    return { chunk: best, source: this.leastBusy(near, best), startedAt: now };
  }

  /** A chunk that no near member holds, when it is this member's turn to bring it in. */
  private fromAfar(now: number): ChunkFetch | undefined {
    const far = this.usableHolders(now).filter(({ member }) => !this.isNear(member));
    const waited = now - this.progressAt;
    for (let chunk = 0; chunk < this.chunks; chunk += 1) {
      const isTurn = waited >= this.regions.rank(chunk) * this.limits.deputyMs;
      if (isTurn && this.isMissing(chunk) && !this.isHeldNear(chunk)) {
        const holders = far.filter((holder) => this.gives(holder, chunk));
        if (holders.length > 0) {
          return { chunk, source: this.leastBusy(holders, chunk), startedAt: now };
        }
      }
    }
    return undefined;
  }

  /** A chunk that no member is known to hold, when it is this member's turn to ask the origin. */
  private fromOrigin(now: number): ChunkFetch | undefined {
    if (now < this.originAvoidedUntil) return undefined;
    const { deputyMs, remoteMs } = this.limits;
    const waited = now - this.progressAt;
    for (let chunk = 0; chunk < this.chunks; chunk += 1) {
      const isEntry = this.regions.isEntry(chunk);
      const waitMs = this.regions.rank(chunk) * deputyMs + (isEntry ? 0 : remoteMs);
      const isTurn =
        waited >= waitMs && this.isOriginTurn(chunk, now) && now >= this.originNotBefore[chunk]!;
      if (isTurn && this.isMissing(chunk) && !this.isKnown(chunk, now)) {
        return { chunk, source: origin, startedAt: now };
      }
    }
    return undefined;
  }

  /** Chunks leave the origin one after the other: the first can spread while others still come. */
  private isOriginTurn(chunk: number, now: number): boolean {
    return now - this.startedAt >= chunk * this.limits.originChunkMs;
  }

  private isMissing(chunk: number): boolean {
    return !this.held[chunk] && !this.active.has(chunk);
  }

  private isInRegion(chunk: number): boolean {
    return this.held[chunk] === 1 || this.isHeldNear(chunk);
  }

  /** Whether any member that may be asked is known to hold a chunk. */
  private isKnown(chunk: number, now: number): boolean {
    return [...this.holders.values()].some(
      (holder) => now >= holder.unreachableUntil && this.gives(holder, chunk) === 1,
    );
  }

  private isHeldNear(chunk: number): boolean {
    return [...this.holders.values()].some(
      ({ member, held }) => this.isNear(member) && held[chunk] === 1,
    );
  }

  private isNear({ region }: WeightMember): boolean {
    return region === this.self.region;
  }

  private gives({ member, held }: Holder, chunk: number): number {
    return held[chunk] === 1 && !this.wrong.has(`${chunk}\n${member.name}`) ? 1 : 0;
  }

  private usableHolders(now: number): Holder[] {
    return [...this.holders.values()].filter(
      ({ avoidedUntil, active }) => now >= avoidedUntil && active < this.limits.perMember,
    );
  }

  private leastBusy(holders: readonly Holder[], chunk: number): WeightSource {
    let best: Holder | undefined;
    let least = Infinity;
    holders.forEach((holder) => {
      if (!this.gives(holder, chunk)) return;
      const load = holder.giving + holder.active + this.random.next();
      if (load >= least) return;
      best = holder;
      least = load;
    });
    return best!.member;
  }

  private timeoutOf(source: WeightSource): number {
    return source === origin ? this.limits.originTimeoutMs : this.limits.memberTimeoutMs;
  }

  private end(fetch: ChunkFetch): boolean {
    if (this.active.get(fetch.chunk) !== fetch) return false;
    this.active.delete(fetch.chunk);
    this.countActive(fetch.source, -1);
    return true;
  }

  private countActive(source: WeightSource, by: number): void {
    if (source === origin) {
      this.originActive += by;
      return;
    }
    const holder = this.holders.get(source.name);
    if (holder) holder.active += by;
  }
}
