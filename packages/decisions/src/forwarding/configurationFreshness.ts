/**
 * Tracks when the configuration in use was last confirmed as the newest one. A confirmation counts
 * from the start of the store call that gave it. Times come from a clock that also runs while the
 * instance is suspended.
 */
export class ConfigurationFreshness {
  private confirmedAt = -Infinity;

  constructor(
    /** Age up to which keys of the configuration are accepted, in milliseconds. */
    private readonly maxAgeMs: number,
    /** Age up to which missing routes and keys count as nonexistent, in milliseconds. */
    private readonly maxDenialAgeMs: number,
  ) {}

  /** Records that the store confirmed the configuration in a call that began at `calledAt`. */
  confirm(calledAt: number): void {
    this.confirmedAt = Math.max(this.confirmedAt, calledAt);
  }

  ageMs(now: number): number {
    return now - this.confirmedAt;
  }

  /** Whether keys of the configuration may be accepted. */
  mayAcceptKeys(now: number): boolean {
    return this.ageMs(now) < this.maxAgeMs;
  }

  /** Whether a caller may be told that a route or key does not exist. */
  mayReportMissing(now: number): boolean {
    return this.ageMs(now) < this.maxDenialAgeMs;
  }
}
