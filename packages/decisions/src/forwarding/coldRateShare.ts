/** The allowed rate of a cold endpoint, from all entries together. */
export interface ColdRate {
  /** Declared requests per second. */
  readonly perSecond: number;
  /** Tolerated multiple of it. */
  readonly factor: number;
  /** Requests per second tolerated in addition. */
  readonly slack: number;
}

/** The entries that may send to a cold endpoint, as one of them knows. */
export interface ColdSharers {
  /** Registered entries in the endpoint's region. */
  readonly local: number;
  /** Whether this entry is in the endpoint's region. */
  readonly isLocal: boolean;
}

/**
 * Part of the allowed rate that entries use of which all others know. The rest is for entries that have just
 * started, or of which others may not know.
 */
const agreedPart = 0.9;
/** Part of that for the entries of the endpoint's region, if there are any; others send there when theirs are full. */
const localPart = 0.85;
/** Time for which the numbers of entries must agree, in milliseconds: others learn of an entry, and a second passes. */
const agreementMs = 1_000;
/** Part of the entries of a region that may be missing: their shares stay within the rest. */
const missingPart = 1 / 8;
/** Factor between the counted and the registered entries from which this entry counts as cut off from the store. */
const silentFactor = 4;
/** Divisor of the share of an entry that is cut off: others may divide the rate without it. */
const silentDivisor = 8;

/**
 * This entry's share of the rate of a cold endpoint. The split is static: it follows from the registered entries
 * alone, so that the sum holds for entries that hear nothing of each other.
 */
export class ColdRateShare {
  /** Since when the numbers of entries agree, as monotonic time in milliseconds; undefined while they do not. */
  private agreedSince: number | undefined;

  /** Entries of this entry's region when the numbers last agreed; undefined before that. */
  private agreedLocal: number | undefined;

  private registered = 0;

  private counted = 0;

  /**
   * Observes the registered entries and those that must be counted with, because they may still send.
   * `countLocal` returns the registered entries of this entry's region.
   */
  observe(registered: number, counted: number, countLocal: () => number, now: number): void {
    this.registered = registered;
    this.counted = counted;
    if (counted > registered) this.agreedSince = undefined;
    else this.agreedSince ??= now;
    if (this.isAgreed(now)) this.agreedLocal = countLocal();
    else if (this.missing > this.tolerated && !this.isSilent) this.agreedLocal = undefined;
  }

  /** Returns the requests per second that this entry may send. */
  perSecond({ perSecond, factor, slack }: ColdRate, sharers: ColdSharers, now: number): number {
    const allowed = perSecond * factor + slack;
    if (this.agreedLocal === undefined) return ((1 - agreedPart) * allowed) / this.counted;
    const agreed = allowed * agreedPart;
    const silent = this.isSilent ? silentDivisor : 1;
    if (!sharers.isLocal) {
      const part = sharers.local > 0 ? 1 - localPart : 1;
      return (agreed * part) / (Math.max(1, this.counted - sharers.local) * silent);
    }
    const missing = this.isSilent || this.isAgreed(now) ? 0 : this.missing;
    const local = this.isAgreed(now)
      ? sharers.local
      : Math.max(this.agreedLocal, sharers.local + missing);
    return (agreed * localPart) / (Math.max(1, local) * silent);
  }

  private isAgreed(now: number): boolean {
    return this.agreedSince !== undefined && now - this.agreedSince >= agreementMs;
  }

  private get missing(): number {
    return this.counted - this.registered;
  }

  private get tolerated(): number {
    return (this.agreedLocal ?? 0) * missingPart;
  }

  private get isSilent(): boolean {
    return this.counted >= this.registered * silentFactor;
  }
}
