/** When a version was named, in milliseconds. */
export interface VersionDate {
  /** Earliest time at which it may have been named. */
  readonly at: number;
  /** The same on the monotonic clock, while `at` may be on one that runs during suspensions. */
  readonly monotonicAt: number;
}

/** Weight versions of one model that operators named, and when. */
export class NamedVersions {
  private readonly dates = new Map<number, VersionDate>();

  /** The newest version; 0 for none. */
  get newest(): number {
    return Math.max(0, ...this.dates.keys());
  }

  /** Adds a version; of several times for one version the earliest counts. */
  add(version: number, at: number, monotonicAt = at): void {
    const known = this.dates.get(version);
    if (known && known.at <= at) return;
    this.dates.set(version, { at, monotonicAt });
  }

  /** Returns when a version was named; undefined when the version is unknown. */
  dateOf(version: number): VersionDate | undefined {
    return this.dates.get(version);
  }

  /** Time at which a version was named; undefined when the version is unknown. */
  namedAt(version: number): number | undefined {
    return this.dateOf(version)?.at;
  }

  /**
   * Time at which `served` ceased to be the newest version; infinite while it is the newest. The first
   * newer version counts, so that further ones don't extend the use of an outdated version.
   */
  outdatedAt(served: number): number {
    const newer = [...this.dates].filter(([version]) => version > served);
    return Math.min(Infinity, ...newer.map(([, { at }]) => at));
  }
}
