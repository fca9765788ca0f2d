const secondMs = 1_000;
/** Longest part of a period, and longest time in milliseconds, in which the request of the period may be sent. */
const slot = { part: 1 / 4, maxMs: 250 } as const;

/**
 * One entry's share of a rate limit that all entries keep together, without bursts. Used for endpoints
 * that have just started. The whole part of the share is the most in any second. Of the rest, one request is
 * sent at the start of each longer period; the phase of the periods differs between entries, so that a
 * flood after a quiet time does not make all of them send at once.
 */
export class SharedRateLimiter {
  /** Times of the requests in the last second that count in the whole part, oldest first. */
  private readonly times: number[] = [];

  /** Number of the last used period; the period of the first check with a share counts as used. */
  private lastPeriod = 0;

  /** Fraction of the share by which periods are counted; undefined before the first check. */
  private rest: number | undefined;

  /** Time of the last request that was sent in a period. */
  private lastPeriodAt = -Infinity;

  constructor(
    /** Phase of this entry's periods, from 0 to 1. */
    private readonly phase: number,
  ) {}

  /** Whether one more request may be sent at `now`, with a share of `perSecond` requests. */
  allows(perSecond: number, now: number): boolean {
    const rest = perSecond % 1;
    const period = this.periodAt(rest, now);
    if (rest !== this.rest) this.lastPeriod = Math.floor(period);
    this.rest = rest;
    if (this.hasWhole(perSecond, now)) return true;
    if (rest === 0 || Math.floor(period) <= this.lastPeriod) return false;
    if (now - this.lastPeriodAt < secondMs) return false;
    const sinceStart = period % 1;
    return sinceStart < slot.part && (sinceStart * secondMs) / rest < slot.maxMs;
  }

  /** Records that a request is sent that `allows` has admitted at the same time and share. */
  record(perSecond: number, now: number): void {
    if (this.hasWhole(perSecond, now)) this.times.push(now);
    else {
      this.lastPeriod = Math.floor(this.periodAt(perSecond % 1, now));
      this.lastPeriodAt = now;
    }
  }

  private hasWhole(perSecond: number, now: number): boolean {
    while (this.times.length > 0 && now - this.times[0]! >= secondMs) this.times.shift();
    return this.times.length + 1 <= Math.floor(perSecond);
  }

  /** Number of periods since the start of the clock, of which each has one request. */
  private periodAt(perSecond: number, now: number): number {
    return (now * perSecond) / secondMs + this.phase;
  }
}
