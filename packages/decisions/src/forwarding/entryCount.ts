/** Time without a store response after which other entries may consider this one gone, in milliseconds. */
const silentMs = 5_000;
/** Factor on the last count from then on, as the other entries may use larger shares. */
const silentFactor = 4;
/** Time within which all entries learn of a changed count, in milliseconds. */
const propagationMs = 500;

interface FormerCount {
  readonly count: number;
  /** Monotonic time at which a lower count replaced it, in milliseconds. */
  readonly until: number;
}

/**
 * Number of entries by which each divides a limit that all of them share. Entries that are no longer
 * registered may still send, or may have used the limit shortly before. A decrease therefore takes
 * effect only after a hold time.
 */
export class EntryCount {
  /** The last count; undefined before the first response of the store. */
  private registered: number | undefined;

  /** Monotonic time of the last response of the store, in milliseconds. */
  private updatedAt = 0;

  /** Time for which a higher count still holds after a decrease, in milliseconds. */
  private readonly holdMs: number;

  /** Higher counts from before, oldest first; dropped only on a response of the store. */
  private former: FormerCount[] = [];

  constructor(
    /** Count used by a new process until the first response of the store. */
    private readonly initialCount: number,
    /** Window of the shared limit, in milliseconds. */
    windowMs: number,
  ) {
    this.holdMs = windowMs + propagationMs;
  }

  /**
   * Applies a response of the store: the number of registered entries, and whether this entry is
   * among them.
   */
  update(registered: number, isIncluded: boolean, now: number): void {
    const before = this.known(now);
    const last = this.registered ?? this.initialCount;
    const count = isIncluded ? registered : Math.max(registered + 1, last);
    this.former = this.former.filter(({ until }) => now - until < this.holdMs);
    if (before > count) this.former.push({ count: before, until: now });
    this.registered = count;
    this.updatedAt = now;
  }

  /** Entries that may be sending, or were until recently; at least 1. */
  current(now: number): number {
    return Math.max(1, this.known(now), ...this.former.map(({ count }) => count));
  }

  /** Entries according to the last response of the store, scaled up once that is too old. */
  private known(now: number): number {
    if (this.registered === undefined) return this.initialCount;
    return now - this.updatedAt < silentMs ? this.registered : this.registered * silentFactor;
  }
}
