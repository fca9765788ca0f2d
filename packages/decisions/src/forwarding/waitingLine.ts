import { SlidingWindowCounter } from './slidingCount.js';

/** Factor on a workspace's count for each request that is served after it. */
const servedDecay = 0.98;
const forgetBelow = 0.01;
/** Time over which the rate of served requests is measured, in milliseconds. */
const rateWindowMs = 1_000;
/** Least rate that is assumed, in requests a millisecond. */
const leastRate = 0.01;

/** A request that waits for an endpoint. */
export interface QueuedRequest {
  readonly workspace: string;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Whether its caller has been refused before, so that its goal has passed. */
  readonly isCallerRetry: boolean;
  /** Monotonic time, in milliseconds. */
  readonly arrivedAt: number;
  /** Monotonic time until which it has to be sent to be answered within its goal. */
  readonly startBy: number;
}

/**
 * Requests that wait for one service. Those that can still be answered within their goal go first,
 * the most urgent before others; among equals the workspace that was served least lately, then the
 * one that came first.
 */
export class WaitQueue<Item extends QueuedRequest> {
  private readonly items: Item[] = [];

  /** Requests of each workspace that were served lately; decays with each one that is served. */
  private readonly served = new Map<string, number>();

  private readonly servedLately = new SlidingWindowCounter(rateWindowMs);

  get length(): number {
    return this.items.length;
  }

  enqueue(item: Item): void {
    this.items.push(item);
  }

  /** Takes a request out; returns whether it was there. */
  remove(item: Item): boolean {
    const index = this.items.indexOf(item);
    if (index < 0) return false;
    this.items.splice(index, 1);
    return true;
  }

  /** The waiting requests in the order in which they are to be served. */
  inDispatchOrder(now: number): Item[] {
    if (this.items.length < 2) return [...this.items];
    const isLate = (item: Item): number => (item.isCallerRetry || now > item.startBy ? 1 : 0);
    return [...this.items].sort(
      (a, b) =>
        isLate(a) - isLate(b) ||
        a.priority - b.priority ||
        this.servedOf(a.workspace) - this.servedOf(b.workspace) ||
        a.arrivedAt - b.arrivedAt,
    );
  }

  /** Time until one more request would be served, at the rate of the last second. */
  expectedWaitMs(now: number): number {
    const rate = Math.max(leastRate, this.servedLately.total(now) / rateWindowMs);
    return this.items.length / rate;
  }

  /** Counts a request that was served. */
  recordServed(workspace: string, now: number): void {
    this.servedLately.add(1, now);
    this.served.forEach((count, name) => {
      const next = count * servedDecay;
      if (next < forgetBelow) this.served.delete(name);
      else this.served.set(name, next);
    });
    this.served.set(workspace, this.servedOf(workspace) + 1);
  }

  private servedOf(workspace: string): number {
    return this.served.get(workspace) ?? 0;
  }
}
