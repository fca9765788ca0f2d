import { expectedTurnAt } from './expectedCapacity.js';
import type { ExpectedCapacity } from './expectedCapacity.js';
import { SlidingWindowCounter } from './slidingWindowCounter.js';

/** Window over which rates are measured, in milliseconds. */
const rateWindowMs = 1_000;
/**
 * Time after which the rate of late placements is known once endpoints serve again, in milliseconds; until then the
 * rate that is expected of them counts.
 */
const recoveryMs = 2 * rateWindowMs;

/** What is known of when a request of a service that waits is going to be sent. */
export class ServiceOutlook {
  private readonly arrivals = new SlidingWindowCounter(rateWindowMs);

  /** Requests that were sent when they could no longer be in time. */
  private readonly latePlacements = new SlidingWindowCounter(rateWindowMs);

  /** Monotonic time at which no endpoint could serve last, in milliseconds. */
  private outAt = -Infinity;

  recordArrival(now: number): void {
    this.arrivals.add(1, now);
  }

  recordLatePlacement(now: number): void {
    this.latePlacements.add(1, now);
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

  /** Returns when a request is expected to be sent that has `ahead` others before it, in monotonic milliseconds. */
  turnAt(capacities: readonly ExpectedCapacity[], ahead: number, now: number): number {
    return Math.max(
      now,
      expectedTurnAt(capacities, ahead, this.arrivals.total(now) / rateWindowMs),
    );
  }

  /** Like `turnAt`, for a late request while endpoints serve: it gets the places that those in time leave. */
  lateTurnAt(capacities: readonly ExpectedCapacity[], ahead: number, now: number): number {
    const rate = this.latePlacements.total(now) / rateWindowMs;
    const measuredAt = rate > 0 ? now + (ahead + 1) / rate : Infinity;
    if (now - this.outAt > recoveryMs) return measuredAt;
    return Math.min(measuredAt, this.turnAt(capacities, ahead, now));
  }
}
