import { SlidingWindowCounter } from './slidingWindowCounter.js';

/** Limit on the retries to one service by all entries together. */
export interface RetryLimit {
  /** Retries per request. */
  readonly ratio: number;
  /** Retries per window in addition, for all entries together. */
  readonly slack: number;
  readonly windowMs: number;
}

/** What a retry is for. */
export const RetryPurpose = {
  /** A running request moves to another endpoint. */
  move: 'move',
  /** An attempt has failed of a request that its caller can send again. */
  failure: 'failure',
  /** An attempt has failed of a request whose caller has received a part of the response. */
  begun: 'begun',
} as const;

/** One of the values of {@link RetryPurpose}. */
export type RetryPurpose = (typeof RetryPurpose)[keyof typeof RetryPurpose];

/**
 * Part of the limit that is used for each purpose, and by less important ones; the rest is left because
 * entries may briefly disagree on their number.
 */
const usedShares: Readonly<Record<RetryPurpose, number>> = {
  [RetryPurpose.move]: 0.55,
  [RetryPurpose.failure]: 0.7,
  [RetryPurpose.begun]: 0.8,
};

/** Usage of one service's retry budget in the current window. */
export interface RetryBudgetUsage {
  readonly service: string;
  readonly retries: number;
  /** Retries that the window allows. */
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

  /** Whether the budget allows a retry for a purpose. */
  allows(service: string, now: number, purpose: RetryPurpose): boolean {
    const counters = this.getCounters(service);
    const allowed = this.allowedRetries(counters, now) * usedShares[purpose];
    return counters.retries.total(now) + 1 <= allowed;
  }

  /** Uses the budget for a retry; returns false when the part for its purpose is exhausted. */
  tryAcquire(service: string, now: number, purpose: RetryPurpose): boolean {
    if (!this.allows(service, now, purpose)) return false;
    this.getCounters(service).retries.add(1, now);
    return true;
  }

  /** Budget usage of each service. */
  usage(now: number): RetryBudgetUsage[] {
    return [...this.services].map(([service, counters]) => ({
      service,
      retries: counters.retries.total(now),
      allowed: this.allowedRetries(counters, now) * usedShares[RetryPurpose.begun],
    }));
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
