import { scaleCounts, sumCounts } from './demandWindow.js';
import type { PriorityCounts } from './demandWindow.js';

/** Demand on a service in one region. */
export interface RegionSum {
  readonly counts: readonly PriorityCounts[];
  readonly freePlaces: number;
  /** Monotonic time of its newest part, in milliseconds. */
  readonly at: number;
  /** Whether the other region has sent it to this entry, which forwards it. */
  readonly isDirect: boolean;
}

interface ReceivedPart {
  readonly counts: readonly PriorityCounts[];
  readonly at: number;
}

/** Age at which another entry's part no longer counts, in milliseconds: some reports in a row were lost. */
const partMs = 1_000;
/** Age at which the sum of another region no longer counts, in milliseconds; two entries forward it. */
const regionMs = 2_500;

/** Demand on one service as reported by the entries of the own region, and by other regions. */
export class DemandSums {
  private readonly parts = new Map<string, ReceivedPart>();

  private readonly regions = new Map<string, RegionSum>();

  /** Records the part of another entry of the own region. */
  recordPart(sender: string, counts: readonly PriorityCounts[], now: number): void {
    this.parts.set(sender, { counts, at: now });
  }

  /** Records the sum of another region; returns false if a newer one is known. */
  recordRegion(region: string, sum: RegionSum): boolean {
    if ((this.regions.get(region)?.at ?? -Infinity) >= sum.at) return false;
    this.regions.set(region, sum);
    return true;
  }

  /**
   * Sum of the own region. An entry that hears none of the `entries` of its region assumes that all of
   * them have as much demand as itself.
   */
  sumRegion(own: readonly PriorityCounts[], entries: number, now: number): PriorityCounts[] {
    this.expire(now);
    if (this.parts.size === 0) return scaleCounts(own, Math.max(1, entries));
    return sumCounts([own, ...[...this.parts.values()].map(({ counts }) => counts)]);
  }

  /** Whether another entry of the own region has demand. */
  hasPeerDemand(now: number): boolean {
    this.expire(now);
    return [...this.parts.values()].some(({ counts }) => counts.length > 0);
  }

  /** Sums of other regions that are recent, by region. */
  otherRegions(now: number): ReadonlyMap<string, RegionSum> {
    this.expire(now);
    return this.regions;
  }

  private expire(now: number): void {
    this.parts.forEach(({ at }, sender) => {
      if (now - at >= partMs) this.parts.delete(sender);
    });
    this.regions.forEach(({ at }, region) => {
      if (now - at >= regionMs) this.regions.delete(region);
    });
  }
}
