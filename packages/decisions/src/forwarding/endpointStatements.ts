/** Maximum number of incarnations whose statements are remembered. */
const maxRecords = 1_024;
/** Time over which the first requests after a pause are spread, in milliseconds. */
const rampMs = 250;

/** What an incarnation of an endpoint has said of itself; times are monotonic, in milliseconds. */
interface StatementRecord {
  isLeaving: boolean;
  pauseEndsAt: number;
  /** Time of the last request that was sent to it after it had asked for a pause. */
  lastSentAt: number;
}

/**
 * What endpoints have said of themselves in their responses, by incarnation. A statement binds until
 * its end whatever others say of the endpoint, and also after its registration was missing for a while.
 */
export class EndpointStatements {
  /** In the order of the last statements. */
  private readonly records = new Map<string, StatementRecord>();

  constructor(
    /** Phase of this entry among the others, from 0 to 1. */
    private readonly phase: number,
  ) {}

  /** Number of incarnations whose statements are remembered. */
  get size(): number {
    return this.records.size;
  }

  /** Records that an incarnation leaves; returns whether that is new. */
  recordLeaving(incarnation: string, now: number): boolean {
    const record = this.touch(incarnation, now);
    const isNew = !record.isLeaving;
    record.isLeaving = true;
    return isNew;
  }

  /**
   * Records that an incarnation asks for a pause; returns whether it had asked for none that lasts.
   * Each of its pauses binds, so the one that ends last counts.
   */
  recordPause(incarnation: string, pauseMs: number, now: number): boolean {
    const record = this.touch(incarnation, now);
    const isNew = record.pauseEndsAt <= now;
    record.pauseEndsAt = Math.max(record.pauseEndsAt, now + pauseMs);
    return isNew;
  }

  /** Whether an incarnation has said that it leaves, which it can't take back. */
  isLeaving(incarnation: string): boolean {
    return this.records.get(incarnation)?.isLeaving ?? false;
  }

  /** Returns the monotonic time at which the last pause of an incarnation ends, in milliseconds. */
  pauseEndsAt(incarnation: string): number {
    return this.records.get(incarnation)?.pauseEndsAt ?? -Infinity;
  }

  /** Whether a request may be sent to an incarnation, as far as its statements are concerned. */
  allows(incarnation: string, now: number): boolean {
    return !this.isLeaving(incarnation) && this.pauseEndsAt(incarnation) <= now;
  }

  /**
   * Whether a request may be placed on an incarnation. After a pause this entry's requests are spaced
   * until as many as it can run at once, `share`, may have been sent.
   */
  allowsPlacement(incarnation: string, share: number, now: number): boolean {
    if (!this.allows(incarnation, now)) return false;
    const record = this.records.get(incarnation);
    if (!record || now >= record.pauseEndsAt + rampMs) return true;
    const spacingMs = rampMs / Math.max(1, share);
    const firstAt = record.pauseEndsAt + this.phase * spacingMs;
    return now >= Math.max(firstAt, record.lastSentAt + spacingMs);
  }

  /** Records that a request has been placed on an incarnation. */
  recordPlacement(incarnation: string, now: number): void {
    const record = this.records.get(incarnation);
    if (record) record.lastSentAt = now;
  }

  /** Returns the record of an incarnation as the last one in order. */
  private touch(incarnation: string, now: number): StatementRecord {
    const known = this.records.get(incarnation);
    this.records.delete(incarnation);
    if (this.records.size >= maxRecords) this.prune(now);
    const record = known ?? { isLeaving: false, pauseEndsAt: -Infinity, lastSentAt: -Infinity };
    this.records.set(incarnation, record);
    return record;
  }

  /** Forgets the statements that no longer bind, and the oldest one if there are none. */
  private prune(now: number): void {
    this.records.forEach(({ isLeaving, pauseEndsAt }, incarnation) => {
      if (!isLeaving && pauseEndsAt + rampMs <= now) this.records.delete(incarnation);
    });
    if (this.records.size < maxRecords) return;
    const [oldest] = this.records.keys();
    this.records.delete(oldest!);
  }
}
