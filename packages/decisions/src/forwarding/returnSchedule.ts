/** What the time of a caller's return depends on. */
export interface ReturnFacts {
  readonly now: number;
  /** Time in which those that wait now are sent, in milliseconds. */
  readonly backlogMs: number;
  /** Requests per millisecond that are sent although they can no longer be in time. */
  readonly latePerMs: number;
  /** Time that the caller has left, in milliseconds. */
  readonly remainingMs: number;
  /** Whether the caller may come back; it does so once. */
  readonly mayReturn: boolean;
}

/** Longest delay that a caller accepts, as a share of the time that it has left. */
const maxDelayShare = 1 / 3;
/** Time in which a refusal reaches its caller, in milliseconds. */
const transitMs = 20;
/** Shortest delay, in milliseconds: the load hardly changes in less time. */
const minDelayMs = 200;

/**
 * Plans when refused callers come back, at the rate at which room is left for them: one after another, so that they
 * neither meet each other nor take the places of new requests.
 */
export class ReturnSchedule {
  /** Monotonic time from which on the next return has room, in milliseconds. */
  private nextAt = -Infinity;

  /** Returns the delay after which a caller is expected to find room; a longer one than it accepts is not planned. */
  plan({ now, backlogMs, latePerMs, remainingMs, mayReturn }: ReturnFacts): number {
    // No room is expected, so the delay is no shorter than the time that the caller has left.
    if (latePerMs <= 0) return remainingMs + backlogMs;
    const at = Math.max(this.nextAt, now + Math.max(minDelayMs, backlogMs));
    const delayMs = at - now;
    const isAccepted = delayMs <= (remainingMs - transitMs) * maxDelayShare;
    if (mayReturn && isAccepted) this.nextAt = at + 1 / latePerMs;
    return delayMs;
  }
}
