import { PeerLoads } from './peerLoads.js';
import type { PeerLoad } from './peerLoads.js';

/** Load of an endpoint as reported by itself or by the agent beside it. */
export interface ReportedLoad {
  readonly running: number;
  readonly waiting: number;
  /** Factor by which it is slower than its profile states. */
  readonly slowdown: number;
}

/** Limits on the concurrent requests at an endpoint. */
export interface LoadLimits {
  readonly slots: number;
  /** Requests that may wait there, so that a freed slot is filled at once. */
  readonly spare: number;
  /** Limit on the prefill time of unprocessed prompts, in milliseconds: prefill pauses running streams. */
  readonly unreadMs: number;
}

/** Number of peers from which on load updates come too late to keep all within the capacity. */
const manyPeers = 4;
/** Age at which a report no longer counts, in milliseconds: an agent that restarts reports again before. */
const staleReportMs = 4_000;

/** One entry's estimate of an endpoint's load: the last report plus the requests sent since. */
export class EndpointLoad {
  /** This entry's requests at the endpoint. */
  ownRequests = 0;

  /** Prefill time of own requests without a first event, in milliseconds. */
  private ownUnreadMs = 0;

  slowdown = 1;

  /** Requests at the last report that neither this entry nor a peer accounts for. */
  private otherRequests = 0;

  /** Own requests sent since the last report. */
  private startedSinceReport = 0;

  /** Prefill times of placed requests that have not been sent yet, in milliseconds. */
  private readonly placed: number[] = [];

  private allowance = Infinity;

  private reportedAt = -Infinity;

  private readonly peerLoads = new PeerLoads();

  constructor(
    /** Number of other entries that send to the endpoint. */
    private readonly peerCount: () => number,
    /** Whether the endpoint is in this entry's region, where entries share their loads. */
    private readonly isLocal: boolean,
  ) {}

  /**
   * Applies a report. `ownAtReport` is the number of this entry's requests at the time of the report,
   * `allowance` the number of requests that this entry may send until the next report.
   */
  applyReport(
    { running, waiting, slowdown }: ReportedLoad,
    ownAtReport: number,
    allowance: number,
    now: number,
  ): void {
    this.allowance = allowance;
    this.otherRequests = Math.max(
      0,
      running + waiting - ownAtReport - this.peerLoads.requests(now),
    );
    this.slowdown = Math.max(1, slowdown);
    this.reportedAt = now;
    this.startedSinceReport = 0;
  }

  /**
   * Requests at the endpoint, running and waiting. Entries see the same reports, so each peer without
   * a known load is assumed to have sent as many requests since then as this entry. Otherwise all
   * entries would fill the same free slots.
   */
  outstanding(now: number): number {
    const known = this.ownRequests + this.peerLoads.requests(now);
    if (this.reportAgeMs(now) >= staleReportMs) return known;
    return known + this.otherRequests + this.startedSinceReport * this.unknownPeers(now);
  }

  /** Whether this entry may send one more request. */
  hasCapacity({ slots, spare, unreadMs }: LoadLimits, now: number): boolean {
    if (this.reportAgeMs(now) >= staleReportMs) {
      return this.outstanding(now) < Math.max(1, slots / (1 + this.unknownPeers(now)));
    }
    if (!this.isLocal || this.unknownPeers(now) > 0)
      return this.startedSinceReport < this.allowance;
    const fits = this.outstanding(now) < slots + spare && this.unreadMs(now) < unreadMs;
    return fits && (this.peerCount() < manyPeers || this.startedSinceReport < this.allowance);
  }

  /**
   * Prefill time of all unprocessed prompts, in milliseconds. Peers without a known load are assumed
   * to have as much as this entry.
   */
  unreadMs(now: number): number {
    return this.ownUnreadMs * (1 + this.unknownPeers(now)) + this.peerLoads.unreadMs(now);
  }

  /** This entry's own load, to be sent to its peers. */
  get ownLoad(): PeerLoad {
    return { requests: this.ownRequests, unreadMs: this.ownUnreadMs };
  }

  /** Records the load that a peer sent. */
  updatePeer(name: string, load: PeerLoad, now: number): void {
    this.peerLoads.update(name, load, now);
  }

  reportAgeMs(now: number): number {
    return now - this.reportedAt;
  }

  /** Peers that send to the endpoint and whose load is not known. */
  private unknownPeers(now: number): number {
    return Math.max(0, this.peerCount() - this.peerLoads.count(now));
  }

  /** Number of placed requests that have not been sent yet. */
  get unsentPlacements(): number {
    return this.placed.length;
  }

  /** Counts a request from its placement on, so that the next one is placed with this one in view. */
  recordPlacement(prefillMs: number): void {
    this.placed.push(prefillMs);
    this.add(prefillMs);
  }

  /** Ends the counting of placed requests that were not sent. */
  dropPlacements(): void {
    this.placed.splice(0).forEach((prefillMs) => this.remove(prefillMs));
  }

  /** Records that a request is sent, after its placement if that was recorded. */
  recordStart(prefillMs: number): void {
    const placedMs = this.placed.shift();
    if (placedMs !== undefined) this.remove(placedMs);
    this.add(prefillMs);
  }

  /** Records that the prompt of an own request was processed. */
  recordPrefill(prefillMs: number): void {
    this.ownUnreadMs = Math.max(0, this.ownUnreadMs - prefillMs);
  }

  /** Records the end of an own request, whose slot this entry may fill again. */
  recordEnd(): void {
    this.ownRequests -= 1;
    this.allowance += 1;
  }

  private add(prefillMs: number): void {
    this.ownRequests += 1;
    this.startedSinceReport += 1;
    this.ownUnreadMs += prefillMs;
  }

  private remove(prefillMs: number): void {
    this.ownRequests -= 1;
    this.startedSinceReport = Math.max(0, this.startedSinceReport - 1);
    this.ownUnreadMs = Math.max(0, this.ownUnreadMs - prefillMs);
  }
}
