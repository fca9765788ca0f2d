import type { Clock } from './services.js';

/** Advance of the wall clock over the monotonic one that counts as a suspension, in milliseconds. */
const minSuspensionMs = 10;

/**
 * A clock in milliseconds that keeps running while the instance is suspended; without suspensions it shows the
 * monotonic time. The monotonic clock stops during a suspension and the wall clock may be adjusted, so time by
 * which the wall clock gets ahead counts as a suspension.
 */
export class SleepAwareClock {
  private suspendedMs = 0;

  /** Wall clock less monotonic clock when they were last compared, in milliseconds. */
  private offsetMs: number;

  constructor(private readonly clock: Clock) {
    this.offsetMs = clock.wall() - clock.now();
  }

  now(): number {
    const now = this.clock.now();
    const aheadMs = this.clock.wall() - now - this.offsetMs;
    // The wall clock shows whole milliseconds, so smaller differences would add up with each reading.
    if (Math.abs(aheadMs) >= minSuspensionMs) {
      this.suspendedMs += Math.max(0, aheadMs);
      this.offsetMs += aheadMs;
    }
    return now + this.suspendedMs;
  }
}
