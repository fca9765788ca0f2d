/**
 * Age of the proof that the configuration in use is the newest one. A proof dates from before the
 * call to the store that gave it. Times come from a clock that also runs while the instance sleeps.
 */
export class ConfigurationFreshness {
  private provenAt = -Infinity;

  constructor(
    /** Age up to which keys of the configuration are honoured, in milliseconds. */
    private readonly longestAgeMs: number,
    /** Age up to which what the configuration lacks counts as not there, in milliseconds. */
    private readonly longestDenialAgeMs: number,
  ) {}

  /** The store confirmed the configuration in a call that began at `calledAt`. */
  confirm(calledAt: number): void {
    this.provenAt = Math.max(this.provenAt, calledAt);
  }

  ageMs(now: number): number {
    return now - this.provenAt;
  }

  /** Whether a key of the configuration may be honoured. */
  mayAcceptKeys(now: number): boolean {
    return this.ageMs(now) < this.longestAgeMs;
  }

  /** Whether a caller may be told that a route or key is not there. */
  mayReportMissing(now: number): boolean {
    return this.ageMs(now) < this.longestDenialAgeMs;
  }
}
