import { SlidingWindowCounter } from './slidingCount.js';

/** Bound on repeated sends to one service by all entries together. */
export interface RetryLimit {
  /** Repeats that each request earns. */
  readonly ratio: number;
  /** Repeats in each window besides, for all entries together. */
  readonly slack: number;
  readonly windowMs: number;
}

/** Part of the bound that is used: entries may disagree on their number for a moment. */
const usedShare = 0.8;
/** Part of the bound that repeats may use which are not needed. */
const spareShare = 0.55;

/** What is used of a budget of one service in the present window. */
export interface RetryBudgetUsage {
  readonly service: string;
  readonly retries: number;
  /** Repeats after failures that fit into the window. */
  readonly allowed: number;
}

interface ServiceCounts {
  readonly requests: SlidingWindowCounter;
  readonly repeats: SlidingWindowCounter;
}

/**
 * One entry's share of a bound on repeats that all entries keep together without asking each other:
 * what its own requests earn, and an equal part of the slack.
 */
export class SharedRetryBudget {
  private readonly services = new Map<string, ServiceCounts>();

  constructor(
    private readonly bound: RetryLimit,
    /** Entries that may be at work. */
    private readonly entries: () => number,
  ) {}

  /** A caller's request for a service has come. */
  recordRequest(service: string, now: number): void {
    this.countsOf(service).requests.add(1, now);
  }

  /** Whether one repeat after a failure fits. */
  allows(service: string, now: number): boolean {
    return this.hasRoom(service, usedShare, now);
  }

  /** Takes one repeat after a failure; returns whether it fits. */
  tryAcquire(service: string, now: number): boolean {
    return this.take(service, usedShare, now);
  }

  /** Takes one repeat that is not needed but useful; leaves a part of the bound for failures. */
  tryAcquireOptional(service: string, now: number): boolean {
    return this.take(service, spareShare, now);
  }

  /** What is used of the budget of each service. */
  usage(now: number): RetryBudgetUsage[] {
    return [...this.services].map(([service, counts]) => ({
      service,
      retries: counts.repeats.total(now),
      allowed: this.earned(counts, now) * usedShare,
    }));
  }

  private take(service: string, share: number, now: number): boolean {
    if (!this.hasRoom(service, share, now)) return false;
    this.countsOf(service).repeats.add(1, now);
    return true;
  }

  private hasRoom(service: string, share: number, now: number): boolean {
    const counts = this.countsOf(service);
    return counts.repeats.total(now) + 1 <= this.earned(counts, now) * share;
  }

  private earned({ requests }: ServiceCounts, now: number): number {
    const { ratio, slack } = this.bound;
    return requests.total(now) * ratio + slack / Math.max(1, this.entries());
  }

  private countsOf(service: string): ServiceCounts {
    let counts = this.services.get(service);
    if (!counts) {
      const { windowMs } = this.bound;
      counts = {
        requests: new SlidingWindowCounter(windowMs),
        repeats: new SlidingWindowCounter(windowMs, true),
      };
      this.services.set(service, counts);
    }
    return counts;
  }
}
