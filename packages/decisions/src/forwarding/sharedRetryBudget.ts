import { SlidingWindowCounter } from './slidingWindowCounter.js';

/** Limit on the retries to one service by all entries together. */
export interface RetryLimit {
  /** Retries per request. */
  readonly ratio: number;
  /** Retries per window in addition, for all entries together. */
  readonly slack: number;
  readonly windowMs: number;
}

/** Part of the limit that is used: entries may briefly disagree on their number. */
const usedShare = 0.8;
/** Part of the limit that optional retries may use. */
const optionalShare = 0.55;

/** Usage of one service's retry budget in the current window. */
export interface RetryBudgetUsage {
  readonly service: string;
  readonly retries: number;
  /** Retries after failures that the window allows. */
  readonly allowed: number;
}

interface ServiceCounters {
  readonly requests: SlidingWindowCounter;
  readonly retries: SlidingWindowCounter;
}

/**
 * One entry's share of a retry limit that all entries keep together without coordination: the ratio
 * applies to its own requests, and the slack is divided equally.
 */
export class SharedRetryBudget {
  private readonly services = new Map<string, ServiceCounters>();

  constructor(
    private readonly limit: RetryLimit,
    /** Number of entries that may be active. */
    private readonly entries: () => number,
  ) {}

  /** Counts a caller's request for a service. */
  recordRequest(service: string, now: number): void {
    this.getCounters(service).requests.add(1, now);
  }

  /** Whether the budget allows a retry after a failure. */
  allows(service: string, now: number): boolean {
    return this.hasBudget(service, usedShare, now);
  }

  /** Uses the budget for a retry after a failure; returns false when it is exhausted. */
  tryAcquire(service: string, now: number): boolean {
    return this.acquireShare(service, usedShare, now);
  }

  /** Uses the budget for an optional retry; returns false when only the part for failures is left. */
  tryAcquireOptional(service: string, now: number): boolean {
    return this.acquireShare(service, optionalShare, now);
  }

  /** Budget usage of each service. */
  usage(now: number): RetryBudgetUsage[] {
    return [...this.services].map(([service, counters]) => ({
      service,
      retries: counters.retries.total(now),
      allowed: this.allowedRetries(counters, now) * usedShare,
    }));
  }

  private acquireShare(service: string, share: number, now: number): boolean {
    if (!this.hasBudget(service, share, now)) return false;
    this.getCounters(service).retries.add(1, now);
    return true;
  }

  private hasBudget(service: string, share: number, now: number): boolean {
    const counters = this.getCounters(service);
    return counters.retries.total(now) + 1 <= this.allowedRetries(counters, now) * share;
  }

  private allowedRetries({ requests }: ServiceCounters, now: number): number {
    const { ratio, slack } = this.limit;
    return requests.total(now) * ratio + slack / Math.max(1, this.entries());
  }

  private getCounters(service: string): ServiceCounters {
    let counters = this.services.get(service);
    if (!counters) {
      const { windowMs } = this.limit;
      counters = {
        requests: new SlidingWindowCounter(windowMs),
        retries: new SlidingWindowCounter(windowMs, true),
      };
      this.services.set(service, counters);
    }
    return counters;
  }
}
