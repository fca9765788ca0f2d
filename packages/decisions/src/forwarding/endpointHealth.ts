/** What the end of an attempt tells of its endpoint. */
export const AttemptSign = {
  /** It answered. */
  answered: 'answered',
  /** It answered with an error of its own, which may be due to the request. */
  erred: 'erred',
  /** It refused the request without running it. */
  refused: 'refused',
  /** It broke off, fell silent or could not be reached. */
  failed: 'failed',
} as const;

/** One of the values of {@link AttemptSign}. */
export type AttemptSign = (typeof AttemptSign)[keyof typeof AttemptSign];

/** How much an attempt adds to the count of failures. */
const weights: Readonly<Record<AttemptSign, number>> = {
  [AttemptSign.answered]: 0,
  [AttemptSign.erred]: 0.5,
  [AttemptSign.refused]: 0.5,
  [AttemptSign.failed]: 1,
};

/** Time in which what was seen loses most of its weight, in milliseconds. */
const memoryMs = 4_000;
/** Attempts without a failure that an endpoint is credited with, so that one failure says little. */
const credit = 3;
/** Failures in a row after which an endpoint is left alone for a while. */
const mostInRow = 2;
/** Pause after the last of them, in milliseconds; doubles with each further one. */
const pauseMs = { first: 250, longest: 2_000 } as const;
/** Pause after a refusal, in milliseconds: what filled the endpoint has to end first. */
const refusedPauseMs = 60;

/**
 * How an endpoint behaves as its callers see it, whatever it says of itself. After failures in a row
 * it is left alone for a while; then one request tries it.
 */
export class EndpointHealth {
  private attempts = 0;

  private failures = 0;

  private inRow = 0;

  private countedAt = 0;

  private pausedUntil = -Infinity;

  /** An attempt has ended. */
  count(sign: AttemptSign, now: number): void {
    this.decay(now);
    this.attempts += 1;
    this.failures += weights[sign];
    if (sign === AttemptSign.failed) this.failed(now);
    else if (sign === AttemptSign.answered) this.inRow = 0;
    else if (sign === AttemptSign.refused) this.pauseUntil(now + refusedPauseMs);
  }

  /** Part of the attempts that failed lately, from 0 to 1. */
  failureRate(now: number): number {
    this.decay(now);
    return this.failures / (this.attempts + credit);
  }

  /** Whether it may get a request while `running` requests of this process are there. */
  mayTry(running: number, now: number): boolean {
    if (now < this.pausedUntil) return false;
    return this.inRow < mostInRow || running === 0;
  }

  private failed(now: number): void {
    this.inRow += 1;
    if (this.inRow < mostInRow) return;
    const doubled = pauseMs.first * 2 ** (this.inRow - mostInRow);
    this.pauseUntil(now + Math.min(pauseMs.longest, doubled));
  }

  private pauseUntil(at: number): void {
    this.pausedUntil = Math.max(this.pausedUntil, at);
  }

  private decay(now: number): void {
    const factor = Math.exp((this.countedAt - now) / memoryMs);
    this.countedAt = now;
    this.attempts *= factor;
    this.failures *= factor;
  }
}
