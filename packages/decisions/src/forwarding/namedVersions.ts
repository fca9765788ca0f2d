/** When a version was named, in milliseconds. */
export interface VersionDate {
  /** Earliest time at which it may have been named. */
  readonly at: number;
  /** The same on the monotonic clock, while `at` may be on one that runs during suspensions. */
  readonly monotonicAt: number;
  /** Time from then on for which it is a guess that it had not been named before; 0 if that is proven. */
  readonly unseenMs: number;
}

type DateDetails = Partial<Omit<VersionDate, 'at'>>;

/** Weight versions of one model that operators named, and when. */
export class NamedVersions {
  private readonly dates = new Map<number, VersionDate>();

  /** The newest version; 0 for none. */
  get newest(): number {
    return Math.max(0, ...this.dates.keys());
  }

  /** Adds a version; of several times for one version the earliest counts. */
  add(version: number, at: number, { monotonicAt = at, unseenMs = 0 }: DateDetails = {}): void {
    const known = this.dates.get(version);
    if (known && known.at <= at) return;
    this.dates.set(version, { at, monotonicAt, unseenMs });
  }

  /**
   * Adds a version as another process has dated it; of several dates the earliest counts, but one that is proven goes
   * before guesses.
   */
  addReported(version: number, at: number, unseenMs: number): void {
    const known = this.dates.get(version);
    const isKnownProven = known?.unseenMs === 0;
    const isProven = unseenMs === 0;
    if (known && isKnownProven && !isProven) return;
    if (known && !isKnownProven && isProven) this.dates.delete(version);
    this.add(version, at, { unseenMs });
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
