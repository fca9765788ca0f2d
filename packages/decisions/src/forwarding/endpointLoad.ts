import { ConcurrencyWindow } from './concurrencyWindow.js';
import { PeerHoldings } from './peerHoldings.js';
import { PeerLoads } from './peerLoads.js';
import type { PeerLoad } from './peerLoads.js';

/** Load of an endpoint as reported by itself or by the agent beside it. */
export interface ReportedLoad {
  readonly running: number;
  readonly waiting: number;
  /** Factor by which it is slower than its profile states. */
  readonly slowdown: number;
}

/** Load of an entry at an endpoint, as the entries of a region tell each other. */
export interface SharedLoad extends PeerLoad {
  /** Tokens of the key-value cache that its requests hold and may still need. */
  readonly heldTokens?: number | undefined;
  /** Concurrent requests that the endpoint can take; undefined while this does not limit the entry. */
  readonly window?: number | undefined;
}

/** A placed request that has not been sent yet. */
interface PlacedRequest {
  readonly prefillMs: number;
  readonly heldTokens: number | undefined;
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

  /** Factor by which it is slower than its profile states, according to the last report. */
  slowdown = 1;

  /** Requests at the last report that neither this entry nor a peer accounts for. */
  private otherRequests = 0;

  /** Own requests sent since the last report. */
  private startedSinceReport = 0;

  /** Tokens that own requests hold and may still need. */
  private ownHeldTokens = 0;

  private readonly placed: PlacedRequest[] = [];

  /** Concurrent requests that the endpoint can take, as entries of the region have found. */
  readonly window: ConcurrencyWindow;

  /** Requests that this entry may send until the next report. */
  private allowance = Infinity;

  /** Monotonic time of the last report, in milliseconds. */
  private reportedAt = -Infinity;

  private readonly peerLoads = new PeerLoads();

  private readonly peerHoldings = new PeerHoldings();

  constructor(
    /** Number of other entries that send to the endpoint. */
    private readonly peerCount: () => number,
    /** Whether the endpoint is in this entry's region, where entries share their loads. */
    private readonly isLocal: boolean,
    /** Most requests that the endpoint can hold. */
    getMax: () => number = () => Infinity,
    /** Phase of this entry among those that share the window, from 0 to 1. */
    private readonly phase = 0,
  ) {
    this.window = new ConcurrencyWindow(getMax);
  }

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
   * entries would fill the same free slots. `except` of this entry's last requests are left out.
   */
  outstanding(now: number, except = 0): number {
    const known = this.ownRequests - except + this.peerLoads.requests(now);
    if (this.reportAgeMs(now) >= staleReportMs) return known;
    const started = Math.max(0, this.startedSinceReport - except);
    return known + this.otherRequests + started * this.unknownPeers(now);
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
   * Whether the window has room. Entries that tell each other their loads share it; one that hears of less than half
   * of the others has its own share of it, and at least one request.
   */
  hasWindow(isShared: boolean, now: number): boolean {
    const { phase, window, ownRequests } = this;
    const peers = this.peerCount();
    if (!isShared) return window.allows(ownRequests, now);
    if (this.unknownPeers(now) * 2 > peers)
      return ownRequests === 0 || window.allows(ownRequests * (1 + peers), now);
    return window.allows(this.outstanding(now), now, { sharers: 1 + peers, phase });
  }

  /**
   * Prefill time of all unprocessed prompts, in milliseconds. Peers without a known load are assumed
   * to have as much as this entry. `exceptMs` of this entry's prompts are left out.
   */
  unreadMs(now: number, exceptMs = 0): number {
    const ownMs = Math.max(0, this.ownUnreadMs - exceptMs);
    return ownMs * (1 + this.unknownPeers(now)) + this.peerLoads.unreadMs(now);
  }

  /** This entry's own load, to be sent to its peers. */
  get ownLoad(): SharedLoad {
    const { ownRequests, ownUnreadMs, ownHeldTokens, window } = this;
    const load = { requests: ownRequests, unreadMs: ownUnreadMs, heldTokens: ownHeldTokens };
    return window.value === undefined ? load : { ...load, window: window.value };
  }

  /** Records the load that a peer sent. */
  updatePeer(name: string, load: SharedLoad, now: number): void {
    this.peerLoads.update(name, load, now);
    this.window.recordFreed(false);
    const { requests, heldTokens, window } = load;
    const holding = { requests, heldTokens, window, hasRequests: requests > 0 };
    const before = this.peerHoldings.update(name, holding, now);
    if (this.window.isEnabled) this.window.followPeer(before, holding, now);
  }

  /**
   * Tokens that the requests at the endpoint hold and may still need. Peers without a known load are assumed to
   * hold as much as this entry, and requests of unknown size `typicalTokens`.
   */
  heldTokens(typicalTokens: number, now: number): number {
    const unknown = this.placed.filter(({ heldTokens }) => heldTokens === undefined).length;
    const own = this.ownHeldTokens + unknown * typicalTokens;
    const others = this.reportAgeMs(now) >= staleReportMs ? 0 : this.otherRequests * typicalTokens;
    const peers = this.peerHoldings.heldTokens(typicalTokens, now);
    return own * (1 + this.unknownPeers(now)) + peers + others;
  }

  /** Time since the last report, in milliseconds; infinite before the first one. */
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

  /**
   * Counts a request from its placement on, so that the next one is placed with this one in view. `heldTokens`
   * is undefined if its size is not known yet.
   */
  recordPlacement(prefillMs: number, heldTokens?: number): void {
    this.placed.push({ prefillMs, heldTokens });
    this.add(prefillMs, heldTokens);
  }

  /** Ends the counting of placed requests that were not sent. */
  dropPlacements(): void {
    this.placed
      .splice(0)
      .forEach(({ prefillMs, heldTokens }) => this.remove(prefillMs, heldTokens));
  }

  /** Records that a request is sent, after its placement if that was recorded. */
  recordStart(prefillMs: number, heldTokens = 0): void {
    const placed = this.placed.shift();
    if (placed) this.remove(placed.prefillMs, placed.heldTokens);
    this.add(prefillMs, heldTokens);
  }

  /** Records that the prompt of an own request was processed. */
  recordPrefill(prefillMs: number): void {
    this.ownUnreadMs = Math.max(0, this.ownUnreadMs - prefillMs);
  }

  /** Records the end of an own request, whose slot this entry may fill again. */
  recordEnd(heldTokens = 0): void {
    this.ownRequests -= 1;
    this.ownHeldTokens -= heldTokens;
    this.allowance += 1;
    this.window.recordFreed(true);
  }

  private add(prefillMs: number, heldTokens = 0): void {
    this.ownRequests += 1;
    this.window.recordSend();
    this.startedSinceReport += 1;
    this.ownUnreadMs += prefillMs;
    this.ownHeldTokens += heldTokens;
  }

  private remove(prefillMs: number, heldTokens = 0): void {
    this.ownRequests -= 1;
    this.startedSinceReport = Math.max(0, this.startedSinceReport - 1);
    this.ownUnreadMs = Math.max(0, this.ownUnreadMs - prefillMs);
    this.ownHeldTokens -= heldTokens;
  }
}
