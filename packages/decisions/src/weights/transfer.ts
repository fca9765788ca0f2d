import type { Topology } from './topology.js';
import type { WeightMember } from './weightMember.js';
import { origin } from './sources.js';
import type { SourceOrder, WeightSource } from './sources.js';

/** One fetch of one chunk from one source. */
export interface ChunkFetch {
  readonly chunk: number;
  readonly source: WeightSource;
  readonly startedAt: number;
}

/** How a fetch ended without the chunk. */
export const FetchFault = {
  /** The source is alive but does not hold the chunk yet. */
  notYet: 'notYet',
  /** The source refused, closed the connection or did not respond in time. */
  unreachable: 'unreachable',
  /** The bytes do not match the digest. */
  corrupt: 'corrupt',
  /** Another fetch delivered the chunk first. */
  superseded: 'superseded',
} as const;

/** One of the values of {@link FetchFault}. */
export type FetchFault = (typeof FetchFault)[keyof typeof FetchFault];

/** Limits of a tree transfer. */
export interface TransferLimits {
  /** Maximum number of chunks requested at once. */
  readonly window: number;
  /** Minimum time after which a fetch is overdue, in milliseconds. */
  readonly minTimeoutMs: number;
  /** Maximum time after which a fetch is overdue, in milliseconds. */
  readonly maxTimeoutMs: number;
  /** Time for which an unreachable source is avoided, in milliseconds. */
  readonly avoidMs: number;
}

/** Limits of a tree transfer unless the caller sets others. */
export const defaultTransferLimits: TransferLimits = {
  window: 32,
  minTimeoutMs: 2_000,
  maxTimeoutMs: 10_000,
  avoidMs: 30_000,
};

/** A chunk that has been requested but is not held yet. */
interface PendingChunk {
  /** Fetches in flight, oldest first. */
  readonly active: ChunkFetch[];
  /** Names of the sources that failed for this chunk. */
  readonly failedSources: Set<string>;
  firstRequestedAt: number;
  /** Whether the origin has been asked again after it sent a corrupt chunk. */
  isOriginRepeated: boolean;
}

/** Responsiveness of a source. */
interface SourceActivity {
  /** Time of the last response of any kind. */
  lastResponseAt: number;
  /** Fetches that became overdue since then. */
  overdueFetches: number;
}

/** Fetch timeout as a multiple of the smoothed fetch duration. */
const timeoutFactor = 4;
/** Maximum wait for a chunk at a responsive source, as a multiple of the smoothed wait. */
const maxWaitFactor = 4;
/** Weight of a new sample in the moving averages. */
const ewmaWeight = 0.1;
/** Timeouts that a fetch may take from a source that responds to other fetches. */
const responsiveTimeoutFactor = 3;
/** Overdue fetches without any response after which a source is avoided. */
const maxOverdueFetches = 2;
/** Maximum number of concurrent fetches of one chunk. */
const maxActivePerChunk = 2;

/** The name of a source, as in logs and fault records. */
export function sourceName(source: WeightSource): string {
  return source === origin ? origin : source.name;
}

/** Callbacks by which the fault handlers update a transfer. */
interface FaultTracker {
  recordNotYet(source: WeightSource, state: PendingChunk, now: number): void;
  recordFailure(fetch: ChunkFetch, state: PendingChunk, now: number): void;
}

type FaultHandler = (
  transfer: FaultTracker,
  fetch: ChunkFetch,
  state: PendingChunk,
  now: number,
) => void;

const faultHandlers: Readonly<Record<FetchFault, FaultHandler>> = {
  notYet: (transfer, { source }, state, now) => transfer.recordNotYet(source, state, now),
  unreachable: (transfer, fetch, state, now) => transfer.recordFailure(fetch, state, now),
  corrupt: (_transfer, { source }, state) => {
    // The origin is asked once more: all other sources may be waiting for this member.
    if (source === origin && !state.isOriginRepeated)
      Object.assign(state, { isOriginRepeated: true });
    else state.failedSources.add(sourceName(source));
  },
  superseded: () => undefined,
};

/** Schedules the chunk fetches of one version at one member. */
export interface ChunkTransfer {
  readonly isComplete: boolean;
  /** Returns the fetches to start now. */
  startFetches(now: number): ChunkFetch[];
  /** Returns the fetches to start in place of or beside overdue ones. */
  hedgeFetches(now: number): ChunkFetch[];
  /** Records that a fetch delivered the verified chunk; returns the fetches that it supersedes. */
  fetchSucceeded(fetch: ChunkFetch, now: number): readonly ChunkFetch[];
  /** Records that a fetch ended without the chunk. */
  fetchFailed(fetch: ChunkFetch, fault: FetchFault, now: number): void;
}

/**
 * The transfer of one version to one member over a fixed source order: selects the source of each
 * chunk and hedges overdue fetches. Free of I/O: the owner runs the fetches and reports how they
 * ended.
 */
export class Transfer implements ChunkTransfer {
  private readonly held: Uint8Array;

  private readonly pending = new Map<number, PendingChunk>();

  private readonly avoidedUntil = new Map<string, number>();

  private readonly activity = new Map<string, SourceActivity>();

  /** Pending chunks whose fetches have all ended without the chunk. */
  private readonly idleChunks: number[] = [];

  private nextChunk = 0;

  private heldCount = 0;

  private smoothedFetchMs: number;

  private smoothedWaitMs = 0;

  constructor(
    readonly chunks: number,
    private readonly self: WeightMember,
    private topology: Topology,
    private readonly sourceOrder: SourceOrder,
    private readonly limits: TransferLimits = defaultTransferLimits,
  ) {
    this.held = new Uint8Array(chunks);
    this.smoothedFetchMs = limits.minTimeoutMs / timeoutFactor;
  }

  get isComplete(): boolean {
    return this.heldCount === this.chunks;
  }

  get remaining(): number {
    return this.chunks - this.heldCount;
  }

  /** Time after which a fetch from a silent source is overdue, in milliseconds. */
  get timeoutMs(): number {
    const { minTimeoutMs, maxTimeoutMs } = this.limits;
    return Math.min(maxTimeoutMs, Math.max(minTimeoutMs, this.smoothedFetchMs * timeoutFactor));
  }

  /** Applies a change of members; fetches in flight continue. */
  updateTopology(topology: Topology): void {
    this.topology = topology;
  }

  /** Marks a chunk as held before the transfer starts. */
  markHeld(chunk: number): void {
    this.setHeld(chunk);
  }

  startFetches(now: number): ChunkFetch[] {
    const fetches: ChunkFetch[] = [];
    this.idleChunks.splice(0).forEach((chunk) => {
      const state = this.pending.get(chunk);
      if (state?.active.length === 0) this.startFetch(chunk, state, now, fetches);
    });
    while (this.pending.size < this.limits.window && this.nextChunk < this.chunks) {
      const chunk = this.nextChunk;
      this.nextChunk += 1;
      if (!this.held[chunk]) {
        const state = {
          active: [],
          failedSources: new Set<string>(),
          firstRequestedAt: now,
          isOriginRepeated: false,
        };
        this.pending.set(chunk, state);
        this.startFetch(chunk, state, now, fetches);
      }
    }
    return fetches;
  }

  /** Returns fetches to start beside overdue ones, whose sources are counted as silent. */
  hedgeFetches(now: number): ChunkFetch[] {
    const fetches: ChunkFetch[] = [];
    this.pending.forEach((state, chunk) => {
      const latest = state.active[state.active.length - 1];
      if (!latest || latest.source === origin || !this.isOverdue(latest, now)) return;
      // The oldest fetch may never end; stop tracking it to make room for a new one.
      if (state.active.length >= maxActivePerChunk) state.active.shift();
      this.recordOverdue(latest, state, now);
      this.startFetch(chunk, state, now, fetches);
    });
    return fetches;
  }

  fetchSucceeded(fetch: ChunkFetch, now: number): readonly ChunkFetch[] {
    const state = this.pending.get(fetch.chunk);
    this.recordResponse(fetch.source, now);
    this.avoidedUntil.delete(sourceName(fetch.source));
    if (!state) return [];
    const fetchMs = now - Math.max(fetch.startedAt, 0);
    this.smoothedFetchMs += (fetchMs - this.smoothedFetchMs) * ewmaWeight;
    this.smoothedWaitMs += (now - state.firstRequestedAt - this.smoothedWaitMs) * ewmaWeight;
    this.pending.delete(fetch.chunk);
    this.setHeld(fetch.chunk);
    return state.active.filter((active) => active !== fetch);
  }

  fetchFailed(fetch: ChunkFetch, fault: FetchFault, now: number): void {
    const state = this.pending.get(fetch.chunk);
    if (!state) return;
    const index = state.active.indexOf(fetch);
    if (index >= 0) state.active.splice(index, 1);
    if (state.active.length === 0) this.idleChunks.push(fetch.chunk);
    faultHandlers[fault](this, fetch, state, now);
  }

  /** Records a response of any kind from a source. */
  recordResponse(source: WeightSource, now: number): void {
    const name = sourceName(source);
    const known = this.activity.get(name);
    if (known) Object.assign(known, { lastResponseAt: now, overdueFetches: 0 });
    else this.activity.set(name, { lastResponseAt: now, overdueFetches: 0 });
  }

  /**
   * Records that a live source does not hold the chunk yet. A chunk that takes much longer than
   * others is requested elsewhere: the source may have a different member list, or may not be
   * fetching at all.
   */
  recordNotYet(source: WeightSource, state: PendingChunk, now: number): void {
    this.recordResponse(source, now);
    const maxWaitMs = Math.max(this.limits.maxTimeoutMs, this.smoothedWaitMs * maxWaitFactor);
    if (now - state.firstRequestedAt > maxWaitMs) state.failedSources.add(sourceName(source));
  }

  /** Records an unreachable source: it is tried last for this chunk and avoided for others. */
  recordFailure({ source }: ChunkFetch, state: PendingChunk, now: number): void {
    const name = sourceName(source);
    state.failedSources.add(name);
    if (source !== origin) this.avoidedUntil.set(name, now + this.limits.avoidMs);
  }

  /**
   * A single overdue chunk may be due to this member's own saturated link; several without any
   * response are due to the source.
   */
  private recordOverdue(fetch: ChunkFetch, state: PendingChunk, now: number): void {
    const name = sourceName(fetch.source);
    state.failedSources.add(name);
    const known = this.activity.get(name) ?? { lastResponseAt: 0, overdueFetches: 0 };
    this.activity.set(name, known);
    if (known.lastResponseAt > fetch.startedAt) return;
    known.overdueFetches += 1;
    if (known.overdueFetches >= maxOverdueFetches) this.recordFailure(fetch, state, now);
  }

  /** A source that responds to other fetches meanwhile gets a longer, still bounded, timeout. */
  private isOverdue({ source, startedAt }: ChunkFetch, now: number): boolean {
    if (now - startedAt < this.timeoutMs) return false;
    if (now - startedAt >= this.timeoutMs * responsiveTimeoutFactor) return true;
    const lastResponseAt = this.activity.get(sourceName(source))?.lastResponseAt ?? 0;
    return now - lastResponseAt >= this.timeoutMs;
  }

  private startFetch(chunk: number, state: PendingChunk, now: number, fetches: ChunkFetch[]): void {
    const source = this.chooseSource(chunk, state, now);
    if (state.active.some((active) => active.source === source)) return;
    const fetch = { chunk, source, startedAt: now };
    state.active.push(fetch);
    fetches.push(fetch);
  }

  private chooseSource(chunk: number, state: PendingChunk, now: number): WeightSource {
    for (const source of this.sourceOrder(this.topology, this.self, chunk)) {
      const name = sourceName(source);
      const isAvoided = (this.avoidedUntil.get(name) ?? 0) > now;
      if (!isAvoided && !state.failedSources.has(name)) return source;
    }
    // Every source has failed: start over.
    state.failedSources.clear();
    return origin;
  }

  private setHeld(chunk: number): void {
    if (this.held[chunk]) return;
    this.held[chunk] = 1;
    this.heldCount += 1;
  }
}
