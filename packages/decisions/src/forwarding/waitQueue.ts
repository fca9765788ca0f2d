import { RequestStage } from './requestStage.js';
import { SlidingWindowCounter } from './slidingWindowCounter.js';

/** Decay of all workspaces' served counts with each served request. */
const servedDecay = 0.98;
const minServedCount = 0.01;
/** Window over which the rate of served requests is measured, in milliseconds. */
const rateWindowMs = 1_000;
/** Lower bound of that rate, in requests per millisecond. */
const minRate = 0.01;

/** Rank of each stage in the order of the queue; fresh requests fall back once they are late. */
const ranks: Readonly<Record<RequestStage, number>> = {
  [RequestStage.begun]: 0,
  [RequestStage.moving]: 1,
  [RequestStage.fresh]: 1,
  [RequestStage.callerRetry]: 2,
};
const lateRank = 2;

/** A request that waits for an endpoint. */
export interface QueuedRequest {
  readonly workspace: string;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly stage: RequestStage;
  /** Monotonic time, in milliseconds. */
  readonly arrivedAt: number;
  /** Latest monotonic time at which it can be sent and still meet its latency goal. */
  readonly startBy: number;
}

function getRank({ stage, startBy }: QueuedRequest, now: number): number {
  return stage === RequestStage.fresh && now > startBy ? lateRank : ranks[stage];
}

/**
 * Queue of the requests to one service, ordered by four criteria: requests that have begun come first and
 * those that can't meet their latency goal last, then lower priority numbers, then workspaces with fewer recently served
 * requests, then earlier arrivals.
 */
export class WaitQueue<Item extends QueuedRequest> {
  private readonly items: Item[] = [];

  /** Decaying count of served requests by workspace. */
  private readonly served = new Map<string, number>();

  private readonly servedInWindow = new SlidingWindowCounter(rateWindowMs);

  get length(): number {
    return this.items.length;
  }

  /** Number of requests that wait for capacity; one that has begun may wait for something else. */
  get contenders(): number {
    return this.items.filter(({ stage }) => stage !== RequestStage.begun).length;
  }

  enqueue(item: Item): void {
    this.items.push(item);
  }

  /** Removes a request; returns false when it is not queued. */
  remove(item: Item): boolean {
    const index = this.items.indexOf(item);
    if (index < 0) return false;
    this.items.splice(index, 1);
    return true;
  }

  /** The queued requests in the order in which they are to be dispatched. */
  inDispatchOrder(now: number): Item[] {
    if (this.items.length < 2) return [...this.items];
    return [...this.items].sort(
      (a, b) =>
        getRank(a, now) - getRank(b, now) ||
        a.priority - b.priority ||
        this.servedCount(a.workspace) - this.servedCount(b.workspace) ||
        a.arrivedAt - b.arrivedAt,
    );
  }

  /** Number of requests that wait for capacity and would be dispatched before another one. */
  countAhead(request: QueuedRequest, now: number): number {
    const rank = getRank(request, now);
    return this.items.filter((item) => {
      if (item.stage === RequestStage.begun) return false;
      const lead = rank - getRank(item, now) || request.priority - item.priority;
      return lead >= 0;
    }).length;
  }

  /**
   * Time until one more request would be dispatched at the rate of the last second, in milliseconds. Fresh requests
   * that are late come after it.
   */
  expectedWaitMs(now: number): number {
    const rate = Math.max(minRate, this.servedInWindow.total(now) / rateWindowMs);
    const isInTime = (item: Item): boolean => getRank(item, now) !== lateRank;
    const ahead = this.items.filter(
      (item) =>
        item.stage !== RequestStage.begun && (item.stage !== RequestStage.fresh || isInTime(item)),
    );
    return ahead.length / rate;
  }

  recordServed(workspace: string, now: number): void {
    this.servedInWindow.add(1, now);
    this.served.forEach((count, name) => {
      const next = count * servedDecay;
      if (next < minServedCount) this.served.delete(name);
      else this.served.set(name, next);
    });
    this.served.set(workspace, this.servedCount(workspace) + 1);
  }

  private servedCount(workspace: string): number {
    return this.served.get(workspace) ?? 0;
  }
}
