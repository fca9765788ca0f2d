import { ColdRateShare } from '@laburnumstream/decisions';
import type { EndpointStatements } from '@laburnumstream/decisions';
import type { ColdSharing } from './coldSharing.js';
import { engineQueueLimits } from './endpointHandle.js';
import type { EndpointHandle } from './endpointHandle.js';
import type { EntryCounts } from '../fleet/entryCounts.js';

/** Share of an endpoint's connection limit that all entries together use. */
const connectionShare = 0.9;

/** Whether endpoints have room for one more request of this entry, within what all entries share. */
export class EndpointCapacity {
  private readonly coldRateShare = new ColdRateShare();

  constructor(
    private readonly statements: EndpointStatements,
    private readonly entryCounts: Pick<EntryCounts, 'forConnections' | 'forColdEndpoints'>,
    /** Without it, all entries share the declared rate equally. */
    private readonly coldSharing?: ColdSharing,
  ) {}

  /** Whether an endpoint is neither ejected after failures nor silent. */
  static isHealthy(handle: EndpointHandle, now: number): boolean {
    return handle.health.isAvailable(handle.load.ownRequests, now) && !handle.isSilent(now);
  }

  /** Whether an endpoint can take one more request now. */
  hasRoom(handle: EndpointHandle, now: number): boolean {
    const { incarnation, load, model, slots } = handle;
    this.observeEntries(now);
    const share = slots / this.entryCounts.forConnections;
    if (!this.statements.allowsPlacement(incarnation, share, now)) return false;
    if (!this.hasConnection(handle)) return false;
    if (model && !load.hasCapacity({ ...engineQueueLimits, slots }, now)) return false;
    return load.hasWindow(handle.sharesWindow, now) && this.allowsColdStart(handle, now);
  }

  /** Counts a request that has been placed on an endpoint against the rate of its cold start. */
  recordPlacement(handle: EndpointHandle, now: number): void {
    if (now < handle.coldUntil) handle.coldRate.record(this.getColdRateShare(handle, now), now);
  }

  private hasConnection({ profile, pool, load }: EndpointHandle): boolean {
    const share = (profile?.maxConnections ?? 0) * connectionShare;
    const maxConnections = Math.max(1, Math.floor(share / this.entryCounts.forConnections));
    return pool.hasCapacity(maxConnections, load.unsentPlacements);
  }

  private allowsColdStart(handle: EndpointHandle, now: number): boolean {
    const { profile, coldRate, coldUntil } = handle;
    if (now >= coldUntil || !profile || profile.coldRequestsPerSecond <= 0) return true;
    return coldRate.allows(this.getColdRateShare(handle, now), now);
  }

  /** Updates the numbers of entries by which the rate of a cold endpoint is divided; called at each check for room. */
  private observeEntries(now: number): void {
    const { coldSharing, entryCounts } = this;
    if (!coldSharing) return;
    const { forConnections, forColdEndpoints } = entryCounts;
    const { ownRegionCount } = coldSharing;
    this.coldRateShare.observe(forConnections, forColdEndpoints, ownRegionCount, now);
  }

  /** Returns the requests per second that this entry may send to an endpoint during its cold start. */
  private getColdRateShare({ id, profile, region }: EndpointHandle, now: number): number {
    const { coldSharing, entryCounts } = this;
    const perSecond = profile?.coldRequestsPerSecond ?? 0;
    if (!coldSharing) return perSecond / entryCounts.forColdEndpoints;
    const sharers = coldSharing.sharersOf(id, region);
    return this.coldRateShare.perSecond(coldSharing.rateOf(perSecond), sharers, now);
  }
}
