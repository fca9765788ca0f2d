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
  /** Whether this entry is one of `count` that are selected among those of its side, the same by all. */
  readonly isSelected: (count: number) => boolean;
}

/** Part of the allowed rate that entries use of which all others know. The rest is for the others. */
const agreedPart = 0.87;
/**
 * Part for entries that others may not know yet, as they have just started, and again for entries that others may
 * not know any more, as they are cut off from the store.
 */
const unknownPart = 0.08;
/** Part of the agreed rate for the entries of the endpoint's region, if there are any; others send there when theirs are full. */
const localPart = 0.85;
/** Time within which entries learn of each other, in milliseconds; an entry that starts sends nothing until then. */
const startMs = 600;
/**
 * Time for which the numbers of entries must agree, in milliseconds: others learn of a new entry, and what they, or
 * its former process, sent until then counts for a second. An entry that is cut off does not learn of it, and uses
 * its share until it counts as silent. Among few entries that is a large part, so that a new one waits for longer.
 */
const agreementMs = { few: 5_600, many: 1_500 } as const;
/** Number of entries in a region from which they are many. */
const manyEntries = 8;
/** Factor between the counted and the registered entries from which this entry counts as cut off from the store. */
const silentFactor = 4;

/**
 * This entry's share of the rate of a cold endpoint. The split is static: it follows from the registered entries
 * alone, so that the sum holds for entries that hear nothing of each other. Entries that agree have whole shares,
 * since fractions that are sent at random times could add up to more than the rate in some second.
 */
export class ColdRateShare {
  /** Since when the numbers of entries agree, as monotonic time in milliseconds; undefined while they do not. */
  private agreedSince: number | undefined;

  /** Entries of this entry's region when the numbers last agreed; undefined before that. */
  private agreedLocal: number | undefined;

  private registered = 0;

  private counted = Infinity;

  private local = 0;

  /** Since when this entry is registered, as monotonic time in milliseconds; undefined while it is not. */
  private registeredSince: number | undefined;

  /**
   * Observes the registered entries and those that must be counted with, because they may still send. `local` is
   * the number of registered entries in this entry's region, 0 while this entry is not registered.
   */
  observe(registered: number, counted: number, local: number, now: number): void {
    const wasSilent = this.isSilent;
    const isChanged = registered !== this.registered;
    this.registered = registered;
    this.counted = counted;
    this.local = local;
    // Registrations may have ended during a silence, so that entries have to learn of each other again.
    const isBack = wasSilent && (isChanged || !this.isSilent);
    if (local === 0 || isBack)
      Object.assign(this, { registeredSince: undefined, agreedLocal: undefined });
    if (local > 0) this.registeredSince ??= now;
    if (counted > registered || local === 0) this.agreedSince = undefined;
    else this.agreedSince ??= now;
    if (this.isAgreed(now)) this.agreedLocal = local;
  }

  /** Returns the requests per second that this entry may send. */
  perSecond({ perSecond, factor, slack }: ColdRate, sharers: ColdSharers, now: number): number {
    const allowed = perSecond * factor + slack;
    if (now - (this.registeredSince ?? now) < startMs) return 0;
    if (this.agreedLocal === undefined || this.isSilent) {
      const senders = sharers.isLocal ? Math.floor(allowed * unknownPart) : 0;
      return sharers.isSelected(senders) ? 1 : 0;
    }
    const rate = allowed * agreedPart * this.partOf(sharers, now);
    const members = Math.max(1, this.countMembers(sharers, this.agreedLocal, now));
    const whole = Math.floor(rate);
    return Math.floor(whole / members) + (sharers.isSelected(whole % members) ? 1 : 0);
  }

  /** Part of the agreed rate for this entry's side: the endpoint's region, or all others. Entries of the endpoint's region may still send shortly after they have left. */
  private partOf({ local, isLocal }: ColdSharers, now: number): number {
    if (isLocal) return localPart;
    return local === 0 && this.isAgreed(now) ? 1 : 1 - localPart;
  }

  /** Number of entries that divide the part of this entry's side. */
  private countMembers({ local, isLocal }: ColdSharers, agreedLocal: number, now: number): number {
    if (!isLocal) return this.counted - local;
    if (this.isAgreed(now)) return local;
    return Math.max(agreedLocal, local + this.counted - this.registered);
  }

  private isAgreed(now: number): boolean {
    const neededMs = this.local < manyEntries ? agreementMs.few : agreementMs.many;
    return this.agreedSince !== undefined && now - this.agreedSince >= neededMs;
  }

  private get isSilent(): boolean {
    return this.counted >= this.registered * silentFactor;
  }
}
