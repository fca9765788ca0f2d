/** Time without an answer of the store after which others may take this entry for gone, in milliseconds. */
const silentMs = 5_000;
/** Factor of the last number then, as the others may take larger parts. */
const silentFactor = 4;
/** Time in which all entries learn of a change of their number, in milliseconds. */
const noticeMs = 500;

interface FormerCount {
  readonly count: number;
  /** Monotonic time at which another number took its place, in milliseconds. */
  readonly until: number;
}

/**
 * Number by which an entry divides a bound that all entries keep together. Entries that are no longer
 * registered may be at work still, or have used the bound just before, so a number that falls counts for
 * some time after.
 */
export class EntryCount {
  /** The last number; undefined before the first answer. */
  private registered: number | undefined;

  /** Monotonic time of the last answer, in milliseconds. */
  private toldAt = 0;

  /** Time for which a number counts that has fallen, in milliseconds. */
  private readonly holdMs: number;

  /** Larger numbers of before, oldest first; only an answer of the store ends them. */
  private former: FormerCount[] = [];

  constructor(
    /** Number that counts in a new process until it is registered. */
    private readonly unknownCount: number,
    /** Window over which the bound counts, in milliseconds. */
    windowMs: number,
  ) {
    this.holdMs = windowMs + noticeMs;
  }

  /** The store told how many entries are registered, and whether this one is among them. */
  update(registered: number, isIncluded: boolean, now: number): void {
    const before = this.known(now);
    const last = this.registered ?? this.unknownCount;
    const count = isIncluded ? registered : Math.max(registered + 1, last);
    this.former = this.former.filter(({ until }) => now - until < this.holdMs);
    if (before > count) this.former.push({ count: before, until: now });
    this.registered = count;
    this.toldAt = now;
  }

  /** Entries that may be at work, or were a moment ago; 1 at least. */
  current(now: number): number {
    return Math.max(1, this.known(now), ...this.former.map(({ count }) => count));
  }

  /** Entries as far as the last answer of the store goes. */
  private known(now: number): number {
    if (this.registered === undefined) return this.unknownCount;
    return now - this.toldAt < silentMs ? this.registered : this.registered * silentFactor;
  }
}
