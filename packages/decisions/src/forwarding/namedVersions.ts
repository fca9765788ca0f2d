/** Versions of one model's weights that operators named, and when. Times are monotonic milliseconds. */
export class NamedVersions {
  private readonly times = new Map<number, number>();

  /** The newest version; 0 for none. */
  get newest(): number {
    return Math.max(0, ...this.times.keys());
  }

  /** Takes a version that was named at `at` or later; the earliest time heard of counts. */
  add(version: number, at: number): void {
    this.times.set(version, Math.min(this.times.get(version) ?? Infinity, at));
  }

  /** Time at which a version was named; undefined when that was never heard. */
  namedAt(version: number): number | undefined {
    return this.times.get(version);
  }

  /**
   * Time since when `served` is not the newest version: a version that was named later does not put
   * off the end of the ones before it. Infinite while it is the newest.
   */
  outdatedAt(served: number): number {
    const newer = [...this.times].filter(([version]) => version > served);
    return Math.min(Infinity, ...newer.map(([, at]) => at));
  }
}
