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

function findEarliest(dates: readonly VersionDate[]): VersionDate | undefined {
  const [first, ...others] = dates;
  return first && others.reduce((least, date) => (date.at < least.at ? date : least), first);
}

/**
 * Returns since when a version counts as outdated, from this process's own date and the time that another one has
 * proven, infinite for none. The latter counts only where the own date is not proven: such a date is never late, but that
 * of a process that was suspended may be much too early.
 */
export function combineOutdated(own: VersionDate | undefined, reportedAt: number): number {
  if (own?.unseenMs === 0) return own.at;
  return Math.min(own?.at ?? Infinity, reportedAt);
}

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
    return this.outdatedDate(served)?.at ?? Infinity;
  }

  /** Returns when `served` ceased to be the newest version; undefined while it is the newest. */
  outdatedDate(served: number): VersionDate | undefined {
    return findEarliest(this.newerDates(served));
  }

  /** Returns the same of those dates that are proven. */
  provenOutdatedDate(served: number): VersionDate | undefined {
    return findEarliest(this.newerDates(served).filter(({ unseenMs }) => unseenMs === 0));
  }

  private newerDates(served: number): VersionDate[] {
    return [...this.dates].filter(([version]) => version > served).map(([, date]) => date);
  }
}
