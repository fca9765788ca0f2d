/** How an attempt ended, as far as the endpoint's health is concerned. */
export const AttemptOutcome = {
  /** The endpoint responded. */
  responded: 'responded',
  /** The endpoint responded with a server error, which the request itself may have caused. */
  serverError: 'serverError',
  /** The endpoint refused the request without running it. */
  refused: 'refused',
  /** The connection broke or could not be opened, or the endpoint timed out. */
  failed: 'failed',
} as const;

/** One of the values of {@link AttemptOutcome}. */
export type AttemptOutcome = (typeof AttemptOutcome)[keyof typeof AttemptOutcome];

/** Effect of each outcome on the counts of consecutive failures and errors. */
const handlers: Readonly<Record<AttemptOutcome, (health: EndpointHealth, now: number) => void>> = {
  [AttemptOutcome.responded]: (health) => health.recordSuccess(),
  [AttemptOutcome.serverError]: (health, now) => health.recordError(now),
  [AttemptOutcome.refused]: (health, now) => health.recordRefusal(now),
  [AttemptOutcome.failed]: (health, now) => health.recordFailure(now),
};

/** Is told of an outcome, and whether the endpoint had been ejected for failures until then. */
export type OutcomeObserver = (outcome: AttemptOutcome, wasEjected: boolean, now: number) => void;

/** Weight of each outcome in the failure rate. */
const failureWeights: Readonly<Record<AttemptOutcome, number>> = {
  [AttemptOutcome.responded]: 0,
  [AttemptOutcome.serverError]: 0.5,
  [AttemptOutcome.refused]: 0.5,
  [AttemptOutcome.failed]: 1,
};

/** Time constant of the exponential decay of attempts and failures, in milliseconds. */
const decayMs = 4_000;
/** Successful attempts added to the failure rate, so that a single failure hardly raises it. */
const priorSuccesses = 3;
/** Consecutive failures after which an endpoint is ejected for a while. */
const ejectionThreshold = 2;
/** Consecutive failures that count as an outage rather than as sporadic failures. */
const outageThreshold = 3;
/** Consecutive errors that count as one failure: so many are hardly caused by the requests. */
const errorThreshold = 5;
/** Ejection time after the last failure, in milliseconds; doubles with each further failure. */
const ejectionMs = { initial: 250, max: 2_000 } as const;
/** Factor on the ejection time for each repeated outage, and its upper bound in milliseconds. */
const repeatedOutageFactor = 4;
const maxOutageEjectionMs = 4_000;
/** Time after which an outage no longer counts, in milliseconds. */
const outageMemoryMs = 10_000;
/** Ejection time after a refusal, in milliseconds: running requests have to end first. */
const refusalEjectionMs = 60;

/**
 * Passive health check of an endpoint, from the outcomes of its requests only. After consecutive
 * failures the endpoint is ejected, for longer with each repeated outage; then a single request
 * probes it.
 */
export class EndpointHealth {
  private attempts = 0;

  private failures = 0;

  private consecutiveFailures = 0;

  private consecutiveErrors = 0;

  private recentOutages = 0;

  private lastOutageAt = -Infinity;

  private decayedAt = 0;

  private ejectedUntil = -Infinity;

  private observer: OutcomeObserver | undefined;

  /** Tells an observer of each outcome from now on, instead of the one before. */
  observe(observer: OutcomeObserver): void {
    this.observer = observer;
  }

  recordAttempt(outcome: AttemptOutcome, now: number): void {
    this.decay(now);
    this.attempts += 1;
    this.failures += failureWeights[outcome];
    const wasEjected = this.consecutiveFailures >= ejectionThreshold;
    handlers[outcome](this, now);
    this.observer?.(outcome, wasEjected, now);
  }

  recordSuccess(): void {
    this.consecutiveFailures = 0;
    this.consecutiveErrors = 0;
  }

  /** Records a server error; several in a row count as a failure. */
  recordError(now: number): void {
    this.consecutiveErrors += 1;
    if (this.consecutiveErrors < errorThreshold) return;
    this.consecutiveFailures = Math.max(this.consecutiveFailures, ejectionThreshold - 1);
    this.recordFailure(now);
  }

  /** Records a refused request: the endpoint is full until running requests end. */
  recordRefusal(now: number): void {
    this.ejectUntil(now + refusalEjectionMs);
  }

  /** Records a restart, which counts as an outage and resets everything but the outages. */
  recordRestart(now: number): void {
    if (this.consecutiveFailures < outageThreshold) this.recordOutage(now);
    Object.assign(this, { attempts: 0, failures: 0, consecutiveFailures: 0, consecutiveErrors: 0 });
    this.ejectedUntil = -Infinity;
    if (this.recentOutages > 1) this.ejectUntil(now + this.ejectionTimeMs(0, now));
  }

  /** Whether the last outage was recent enough to count. */
  hasRecentOutage(now: number): boolean {
    return now - this.lastOutageAt <= outageMemoryMs;
  }

  /** Decayed share of attempts that failed, from 0 to 1. */
  failureRate(now: number): number {
    this.decay(now);
    return this.failures / (this.attempts + priorSuccesses);
  }

  /** Whether the endpoint may get a request while this process has `running` requests there. */
  isAvailable(running: number, now: number): boolean {
    if (now < this.ejectedUntil) return false;
    return this.consecutiveFailures < ejectionThreshold || running === 0;
  }

  /** Records a broken or failed connection, or a timeout. */
  recordFailure(now: number): void {
    this.consecutiveFailures += 1;
    if (this.consecutiveFailures < ejectionThreshold) return;
    if (this.consecutiveFailures === outageThreshold) this.recordOutage(now);
    this.ejectUntil(now + this.ejectionTimeMs(this.consecutiveFailures - ejectionThreshold, now));
  }

  private recordOutage(now: number): void {
    this.recentOutages = this.hasRecentOutage(now) ? this.recentOutages + 1 : 1;
    this.lastOutageAt = now;
  }

  /** Ejection time after `doublings` failures beyond the ejection threshold, in milliseconds. */
  private ejectionTimeMs(doublings: number, now: number): number {
    const baseMs = Math.min(ejectionMs.max, ejectionMs.initial * 2 ** doublings);
    if (this.recentOutages < 2 || !this.hasRecentOutage(now)) return baseMs;
    return Math.min(maxOutageEjectionMs, baseMs * repeatedOutageFactor ** (this.recentOutages - 1));
  }

  private ejectUntil(at: number): void {
    this.ejectedUntil = Math.max(this.ejectedUntil, at);
  }

  private decay(now: number): void {
    const factor = Math.exp((this.decayedAt - now) / decayMs);
    this.decayedAt = now;
    this.attempts *= factor;
    this.failures *= factor;
  }
}
