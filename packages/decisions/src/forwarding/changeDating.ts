/** Changes may have been made this long before the first response after an outage, in milliseconds. */
const recoverySlackMs = 1_000;
/** Failed calls in a row from which the source was down; a single response may have been lost. */
const minOutageFailures = 2;

/** Times of a call that waits for changes, in milliseconds of one clock. */
export interface WatchTimes {
  readonly calledAt: number;
  readonly receivedAt: number;
  /** Time that the source was asked to wait for a change, in milliseconds. */
  readonly waitMs: number;
  /** Whether the response contains no changes. */
  readonly isUnchanged: boolean;
}

/** When changes were made, in milliseconds of one clock. */
export interface ChangeDate {
  /** Earliest time at which they may have been made. */
  readonly changedAt: number;
  /** Time from then on for which it is a guess that they had not been made before; 0 if that is proven. */
  readonly unseenMs: number;
}

/** Returns the time until which the response to a watch contains all changes. */
export function confirmedUntil({ calledAt, receivedAt, waitMs, isUnchanged }: WatchTimes): number {
  const waitEndsAt = calledAt + waitMs;
  return isUnchanged && receivedAt >= waitEndsAt ? waitEndsAt : calledAt;
}

/**
 * Dates the changes that a response contains by the earliest time at which they may have been made: the time
 * until which the content was last confirmed without them. When a response arrives tells nothing, as it may be slow,
 * lost or delayed by a batch window. Times are milliseconds of one clock.
 */
export class ChangeDating {
  private failures = 0;

  constructor(
    /** Time until which all changes are known, or of the start before the first response. */
    private confirmedAt: number,
    /** Time before it in which unseen changes may have been made, in milliseconds. */
    private lookbackMs: number,
  ) {}

  /** Records a call without a response. */
  recordFailure(): void {
    this.failures += 1;
  }

  /**
   * Returns the date of changes in a response that is received at `now`. During an outage no entry learns of
   * changes, so the time to act on them counts from its end.
   */
  dateChanges(now: number): ChangeDate {
    const { confirmedAt, lookbackMs } = this;
    const recoveredAt = this.failures >= minOutageFailures ? now - recoverySlackMs : -Infinity;
    if (recoveredAt <= confirmedAt)
      return { changedAt: confirmedAt - lookbackMs, unseenMs: lookbackMs };
    return { changedAt: recoveredAt - lookbackMs, unseenMs: recoverySlackMs + lookbackMs };
  }

  /** Records a response that contains all changes until `at`. */
  recordResponse(at: number): void {
    this.confirmedAt = at;
    this.lookbackMs = 0;
    this.failures = 0;
  }
}
