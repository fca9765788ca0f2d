import type { ExpectedCapacity, TurnSchedule } from './expectedCapacity.js';
import { SlidingWindowCounter } from './slidingWindowCounter.js';

/** Window over which rates are measured, in milliseconds. */
const rateWindowMs = 1_000;
/**
 * Factor on the measured wait of a late request. The rate falls when more come that can be in time, and a request that
 * is refused after a part of its wait must still have time to come back.
 */
const lateWaitFactor = 2;

/** What is known of when a request of a service that waits is going to be sent. */
export class ServiceOutlook {
  private readonly arrivals = new SlidingWindowCounter(rateWindowMs);

  private readonly placements = new SlidingWindowCounter(rateWindowMs);

  /** Requests that were sent when they could no longer be in time. */
  private readonly latePlacements = new SlidingWindowCounter(rateWindowMs);

  /** Monotonic time at which no endpoint could serve last, in milliseconds. */
  private outAt = -Infinity;

  /** Records an arrived request, also one that is placed again. */
  recordArrival(now: number): void {
    this.arrivals.add(1, now);
  }

  /** Records a sent request, which may no longer be in time. */
  recordPlacement(isLate: boolean, now: number): void {
    this.placements.add(1, now);
    if (isLate) this.latePlacements.add(1, now);
  }

  /** New requests per millisecond. */
  arrivalsPerMs(now: number): number {
    return this.arrivals.total(now) / rateWindowMs;
  }

  /** Requests that are sent per millisecond. */
  placedPerMs(now: number): number {
    return this.placements.total(now) / rateWindowMs;
  }

  /** Late requests that are sent per millisecond. */
  latePerMs(now: number): number {
    return this.latePlacements.total(now) / rateWindowMs;
  }

  /** Whether no endpoint serves now, though some are expected to. */
  isOut(capacities: readonly ExpectedCapacity[], now: number): boolean {
    const isOut = capacities.length > 0 && capacities.every(({ isServing }) => !isServing);
    if (isOut) this.outAt = now;
    return isOut;
  }

  /** Whether no endpoint could serve at a time since `at`. */
  wasOutSince(at: number): boolean {
    return this.outAt >= at;
  }

  /**
   * Returns when a late request with `ahead` others before it is expected to be sent while endpoints serve: it gets the
   * places that those in time leave. One that arrived while none served has the places of those that have come back.
   */
  lateTurnAt(schedule: TurnSchedule, ahead: number, arrivedAt: number, now: number): number {
    const rate = this.latePerMs(now);
    const measuredAt = rate > 0 ? now + ((ahead + 1) / rate) * lateWaitFactor : Infinity;
    if (!this.wasOutSince(arrivedAt)) return measuredAt;
    return Math.min(measuredAt, schedule.turnAt(ahead));
  }
}
