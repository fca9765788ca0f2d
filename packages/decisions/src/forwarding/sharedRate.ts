const secondMs = 1_000;

/**
 * One entry's share of a rate that all entries keep together: at most a part of the rate within any
 * second, without saving up. Used for endpoints that have just started.
 */
export class SharedRate {
  /** Times of the last sends, oldest first. */
  private readonly times: number[] = [];

  /** Whether one more send fits into the second before `now`, with `share` sends a second allowed. */
  fits(share: number, now: number): boolean {
    while (this.times.length > 0 && now - this.times[0]! >= secondMs) this.times.shift();
    return this.times.length + 1 <= share;
  }

  take(now: number): void {
    this.times.push(now);
  }
}
