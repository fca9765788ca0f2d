const secondMs = 1_000;

/**
 * One entry's share of a rate limit that all entries keep together, without bursts. Used for endpoints
 * that have just started. A share below one request per second is kept by sending once per longer
 * period; the phase of the periods differs between entries.
 */
export class SharedRateLimiter {
  /** Times of the requests in the last second, oldest first. */
  private readonly times: number[] = [];

  /** Number of the last used period; the period of the first check counts as used. */
  private lastPeriod: number | undefined;

  constructor(
    /** Phase of this entry's periods, from 0 to 1. */
    private readonly phase: number,
  ) {}

  /** Whether one more request may be sent at `now`, with a share of `perSecond` requests. */
  allows(perSecond: number, now: number): boolean {
    if (perSecond < 1) {
      const period = this.periodAt(perSecond, now);
      this.lastPeriod ??= period;
      return period > this.lastPeriod;
    }
    this.expire(now);
    return this.times.length + 1 <= Math.floor(perSecond);
  }

  record(perSecond: number, now: number): void {
    this.expire(now);
    this.times.push(now);
    this.lastPeriod = this.periodAt(Math.min(1, perSecond), now);
  }

  private expire(now: number): void {
    while (this.times.length > 0 && now - this.times[0]! >= secondMs) this.times.shift();
  }

  private periodAt(perSecond: number, now: number): number {
    return Math.floor((now * perSecond) / secondMs + this.phase);
  }
}
