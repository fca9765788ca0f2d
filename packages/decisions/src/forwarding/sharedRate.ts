const secondMs = 1_000;

/**
 * One entry's share of a rate that all entries keep together, without saving up. Used for endpoints that
 * have just started. A share below one send a second is kept by sending once in a longer period, whose
 * start differs between entries.
 */
export class SharedRateLimiter {
  /** Times of the last sends, oldest first. */
  private readonly times: number[] = [];

  /** Number of the last period in which it sent; the one it was first asked in counts as used. */
  private lastPeriod: number | undefined;

  constructor(
    /** Offset of this entry's periods, from 0 to 1. */
    private readonly phase: number,
  ) {}

  /** Whether one more send fits at `now`, with `share` sends a second allowed. */
  allows(share: number, now: number): boolean {
    if (share < 1) {
      const period = this.periodOf(share, now);
      this.lastPeriod ??= period;
      return period > this.lastPeriod;
    }
    this.forget(now);
    return this.times.length + 1 <= Math.floor(share);
  }

  record(share: number, now: number): void {
    this.forget(now);
    this.times.push(now);
    this.lastPeriod = this.periodOf(Math.min(1, share), now);
  }

  private forget(now: number): void {
    while (this.times.length > 0 && now - this.times[0]! >= secondMs) this.times.shift();
  }

  private periodOf(share: number, now: number): number {
    return Math.floor((now * share) / secondMs + this.phase);
  }
}
