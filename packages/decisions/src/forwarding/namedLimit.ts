const secondMs = 1_000;
/** Part of a limit that entries use: they may briefly disagree on who sends. */
const usedShare = 0.9;
/** Entries that may send to an endpoint with a limit, and how many more for each request per second. */
const senders = { base: 4, perRequest: 1.5 } as const;
/** Time after which a limit is forgotten if nothing is heard of it, in milliseconds. */
const memoryMs = 60_000;

/**
 * Number of entries that may send to an endpoint with a limit. Each may send one request in any short
 * time, so that with all entries a low limit would be exceeded.
 */
export function countSenders(perSecond: number): number {
  return Math.floor(senders.base + senders.perRequest * perSecond);
}

/**
 * One entry's share of the limit that an endpoint names for all entries together. The entries that may
 * send share it equally, and each spaces its requests evenly.
 */
export class NamedLimit {
  private value: number | undefined;

  /** Monotonic time at which the endpoint said so last, in milliseconds. */
  private saidAt = -Infinity;

  private lastSentAt = -Infinity;

  constructor(
    /** Time after `memoryMs` for which this entry remembers a limit, so that not all forget it at once. */
    private readonly addedMemoryMs: number,
  ) {}

  /** Requests per second for all entries together; undefined if there is no limit. */
  perSecond(now: number): number | undefined {
    return now - this.saidAt < memoryMs + this.addedMemoryMs ? this.value : undefined;
  }

  /** Age of the last response that named the limit, or none, in milliseconds. */
  ageMs(now: number): number {
    return now - this.saidAt;
  }

  /** Records what the endpoint said at `at`, undefined for no limit; returns whether that is a change. */
  update(perSecond: number | undefined, at: number): boolean {
    if (at < this.saidAt) return false;
    const isChange = perSecond !== this.value;
    this.value = perSecond;
    this.saidAt = at;
    return isChange;
  }

  /** Whether this entry may send one more request, as one of up to `entries` that exist. */
  allows(entries: number, now: number): boolean {
    const perSecond = this.perSecond(now);
    if (perSecond === undefined) return true;
    const sharers = Math.max(1, Math.min(entries, countSenders(perSecond)));
    const spacingMs = (secondMs * sharers) / (perSecond * usedShare);
    return now - this.lastSentAt >= spacingMs;
  }

  recordSend(now: number): void {
    // The response to a request after the limit was forgotten tells whether it still holds.
    const isForgotten = this.value !== undefined && this.perSecond(now) === undefined;
    if (isForgotten) this.saidAt = now;
    this.lastSentAt = now;
  }
}
