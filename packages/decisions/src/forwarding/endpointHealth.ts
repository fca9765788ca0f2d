/** What the end of an attempt tells of its endpoint. */
export const AttemptOutcome = {
  /** It answered. */
  answered: 'answered',
  /** It answered with an error of its own, which may be due to the request. */
  erred: 'erred',
  /** It refused the request without running it. */
  refused: 'refused',
  /** It broke off, fell silent or could not be reached. */
  failed: 'failed',
} as const;

/** One of the values of {@link AttemptOutcome}. */
export type AttemptOutcome = (typeof AttemptOutcome)[keyof typeof AttemptOutcome];

/** What each sign does to the rows of failures and errors. */
const handlers: Readonly<Record<AttemptOutcome, (health: EndpointHealth, now: number) => void>> = {
  [AttemptOutcome.answered]: (health) => health.recordSuccess(),
  [AttemptOutcome.erred]: (health, now) => health.recordError(now),
  [AttemptOutcome.refused]: (health, now) => health.recordRefusal(now),
  [AttemptOutcome.failed]: (health, now) => health.recordFailure(now),
};

/** How much an attempt adds to the count of failures. */
const weights: Readonly<Record<AttemptOutcome, number>> = {
  [AttemptOutcome.answered]: 0,
  [AttemptOutcome.erred]: 0.5,
  [AttemptOutcome.refused]: 0.5,
  [AttemptOutcome.failed]: 1,
};

/** Time in which what was seen loses most of its weight, in milliseconds. */
const memoryMs = 4_000;
/** Attempts without a failure that an endpoint is credited with, so that one failure says little. */
const credit = 3;
/** Failures in a row after which an endpoint is left alone for a while. */
const mostInRow = 2;
/** Failures in a row after which it counts as fallen, and not as one that fails now and then. */
const fallInRow = 3;
/** Errors in a row that count as a failure: so many are hardly due to the requests. */
const mostErrorsInRow = 5;
/** Pause after the last failure, in milliseconds; doubles with each further one. */
const pauseMs = { first: 250, longest: 2_000 } as const;
/** How much longer an endpoint is left alone each time that it falls again, and how long at most. */
const fallFactor = 4;
const longestFallPauseMs = 4_000;
/** Time after which a fall is forgotten, in milliseconds. */
const calmMs = 10_000;
/** Pause after a refusal, in milliseconds: what filled the endpoint has to end first. */
const refusedPauseMs = 60;

/**
 * How an endpoint behaves as its callers see it, whatever it says of itself. After failures in a row
 * it is left alone for a while, longer each time that it comes back and falls again; then one request
 * tries it.
 */
export class EndpointHealth {
  private attempts = 0;

  private failures = 0;

  private inRow = 0;

  private errorsInRow = 0;

  /** Times that it fell lately. */
  private falls = 0;

  private fellAt = -Infinity;

  private countedAt = 0;

  private pausedUntil = -Infinity;

  /** An attempt has ended. */
  recordAttempt(sign: AttemptOutcome, now: number): void {
    this.decay(now);
    this.attempts += 1;
    this.failures += weights[sign];
    handlers[sign](this, now);
  }

  /** It answered. */
  recordSuccess(): void {
    this.inRow = 0;
    this.errorsInRow = 0;
  }

  /** It answered with an error of its own. */
  recordError(now: number): void {
    this.errorsInRow += 1;
    if (this.errorsInRow < mostErrorsInRow) return;
    this.inRow = Math.max(this.inRow, mostInRow - 1);
    this.recordFailure(now);
  }

  /** It refused a request: what filled it has to end first. */
  recordRefusal(now: number): void {
    this.pauseUntil(now + refusedPauseMs);
  }

  /** It was started anew: what it did before says nothing any more, but that it fell. */
  recordRestart(now: number): void {
    if (this.inRow < fallInRow) this.fall(now);
    Object.assign(this, { attempts: 0, failures: 0, inRow: 0, errorsInRow: 0 });
    this.pausedUntil = -Infinity;
    if (this.falls > 1) this.pauseUntil(now + this.pauseAfter(0, now));
  }

  /** Whether it fell so lately that it counts. */
  hasRecentOutage(now: number): boolean {
    return now - this.fellAt <= calmMs;
  }

  /** Part of the attempts that failed lately, from 0 to 1. */
  failureRate(now: number): number {
    this.decay(now);
    return this.failures / (this.attempts + credit);
  }

  /** Whether it may get a request while `running` requests of this process are there. */
  isAvailable(running: number, now: number): boolean {
    if (now < this.pausedUntil) return false;
    return this.inRow < mostInRow || running === 0;
  }

  /** It broke off, fell silent or could not be reached. */
  recordFailure(now: number): void {
    this.inRow += 1;
    if (this.inRow < mostInRow) return;
    if (this.inRow === fallInRow) this.fall(now);
    this.pauseUntil(now + this.pauseAfter(this.inRow - mostInRow, now));
  }

  private fall(now: number): void {
    this.falls = this.hasRecentOutage(now) ? this.falls + 1 : 1;
    this.fellAt = now;
  }

  /** Pause after a failure that follows `doublings` others since it fell, in milliseconds. */
  private pauseAfter(doublings: number, now: number): number {
    const usual = Math.min(pauseMs.longest, pauseMs.first * 2 ** doublings);
    if (this.falls < 2 || !this.hasRecentOutage(now)) return usual;
    return Math.min(longestFallPauseMs, usual * fallFactor ** (this.falls - 1));
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
