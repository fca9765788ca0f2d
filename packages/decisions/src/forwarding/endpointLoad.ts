import { PeerLoads } from './peerLoads.js';
import type { PeerLoad } from './peerLoads.js';

/** What an endpoint, or the process beside it, said of its load. */
export interface ReportedLoad {
  readonly running: number;
  readonly waiting: number;
  /** Factor by which it works slower than its profile says. */
  readonly slowdown: number;
}

/** What bounds the requests at an endpoint at once. */
export interface LoadLimits {
  readonly slots: number;
  /** Requests that may wait there, so that a slot that gets free is filled at once. */
  readonly spare: number;
  /** Time for prompts that may be unread at once, in milliseconds: its streams pause meanwhile. */
  readonly unreadMs: number;
}

/** Peers from which on what they tell comes too late for all of them to keep to the same room. */
const crowdedPeers = 4;
/** Age of a report after which it says nothing any more, in milliseconds. */
const staleMs = 1_500;

/** Load of one endpoint as one entry knows it: the last report, and its own requests since then. */
export class EndpointLoad {
  /** This entry's requests at the endpoint. */
  ownRequests = 0;

  /** Time for prompts of own requests that have not shown an event, in milliseconds. */
  private ownUnreadMs = 0;

  slowdown = 1;

  /** Requests of other entries at the endpoint. */
  private others = 0;

  /** Own requests that were sent since the last report. */
  private startedSince = 0;

  private allowance = Infinity;

  private reportedAt = -Infinity;

  /** Loads of the entries that tell them. */
  private readonly told = new PeerLoads();

  constructor(
    /** Other entries that send to the endpoint as this one does. */
    private readonly peers: () => number,
    /** Whether the endpoint's region is this entry's, so that the peers tell their loads. */
    private readonly isNear: boolean,
  ) {}

  /**
   * Takes a report of a moment at which `ownThen` requests of this entry were there; `allowance` is
   * the number of requests that this entry may send until the next one.
   */
  applyReport(
    { running, waiting, slowdown: pace }: ReportedLoad,
    ownThen: number,
    allowance: number,
    now: number,
  ): void {
    this.allowance = allowance;
    this.others = Math.max(0, running + waiting - ownThen - this.told.requests(now));
    this.slowdown = Math.max(1, pace);
    this.reportedAt = now;
    this.startedSince = 0;
  }

  /**
   * Requests at the endpoint, running and waiting. Entries see the same reports, so the others are
   * taken to have sent since then what this one has: else all would fill the same free slots.
   */
  outstanding(now: number): number {
    const known = this.ownRequests + this.told.requests(now);
    if (this.reportAgeMs(now) >= staleMs) return known;
    return known + this.others + this.startedSince * this.unheardPeers(now);
  }

  /** Whether there is place for one more request, as far as this entry may fill it. */
  hasCapacity({ slots, spare, unreadMs }: LoadLimits, now: number): boolean {
    if (this.reportAgeMs(now) >= staleMs) {
      return this.outstanding(now) < Math.max(1, slots / (1 + this.unheardPeers(now)));
    }
    if (!this.isNear || this.unheardPeers(now) > 0) return this.startedSince < this.allowance;
    const fits = this.outstanding(now) < slots + spare && this.unreadMs(now) < unreadMs;
    return fits && (this.peers() < crowdedPeers || this.startedSince < this.allowance);
  }

  /**
   * Time for prompts that are not read yet, in milliseconds; entries that do not tell theirs are taken
   * to have what this one has.
   */
  unreadMs(now: number): number {
    return this.ownUnreadMs * (1 + this.unheardPeers(now)) + this.told.unreadMs(now);
  }

  /** This entry's own load, as others are told. */
  get ownLoad(): PeerLoad {
    return { requests: this.ownRequests, unreadMs: this.ownUnreadMs };
  }

  /** Another entry told its load. */
  updatePeer(name: string, load: PeerLoad, now: number): void {
    this.told.update(name, load, now);
  }

  reportAgeMs(now: number): number {
    return now - this.reportedAt;
  }

  /** Entries that send there as this one does and do not tell what. */
  private unheardPeers(now: number): number {
    return Math.max(0, this.peers() - this.told.count(now));
  }

  recordStart(readMs: number): void {
    this.ownRequests += 1;
    this.startedSince += 1;
    this.ownUnreadMs += readMs;
  }

  /** The prompt of an own request has been read. */
  recordPrefill(readMs: number): void {
    this.ownUnreadMs = Math.max(0, this.ownUnreadMs - readMs);
  }

  /** An own request has ended: its place is this entry's to fill again. */
  recordEnd(): void {
    this.ownRequests -= 1;
    this.allowance += 1;
  }
}
