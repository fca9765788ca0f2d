/** Weight versions of one model that operators named, with monotonic times in milliseconds. */
export class NamedVersions {
  private readonly times = new Map<number, number>();

  /** The newest version; 0 for none. */
  get newest(): number {
    return Math.max(0, ...this.times.keys());
  }

  /** Adds a version; of several times for one version the earliest counts. */
  add(version: number, namedAt: number): void {
    this.times.set(version, Math.min(this.times.get(version) ?? Infinity, namedAt));
  }

  /** Time at which a version was named; undefined when the version is unknown. */
  namedAt(version: number): number | undefined {
    return this.times.get(version);
  }

  /**
   * Time at which `served` ceased to be the newest version; infinite while it is the newest. The first
   * newer version counts, so that further ones don't extend the use of an outdated version.
   */
  outdatedAt(served: number): number {
    const newer = [...this.times].filter(([version]) => version > served);
    return Math.min(Infinity, ...newer.map(([, at]) => at));
  }
}
