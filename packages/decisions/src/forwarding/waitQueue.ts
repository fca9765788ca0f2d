import { RequestStage } from './requestStage.js';
import { ServedWorkspaces } from './servedWorkspaces.js';
import { SlidingWindowCounter } from './slidingWindowCounter.js';

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

/** A queued request with the values by which it was ordered last. */
interface Entry<Item> {
  readonly item: Item;
  readonly sequence: number;
  rank: number;
  served: number;
}

function getRank({ stage, startBy }: QueuedRequest, now: number): number {
  return stage === RequestStage.fresh && now > startBy ? lateRank : ranks[stage];
}

function isLate<Item extends QueuedRequest>({ item, rank }: Entry<Item>): boolean {
  return item.stage === RequestStage.fresh && rank === lateRank;
}

function compare<Item extends QueuedRequest>(a: Entry<Item>, b: Entry<Item>): number {
  return (
    a.rank - b.rank ||
    a.item.priority - b.item.priority ||
    a.served - b.served ||
    a.item.arrivedAt - b.item.arrivedAt ||
    a.sequence - b.sequence
  );
}

/** Returns the index of the first element for which a condition holds, which then holds for all after it. */
function findFirst<Value>(values: readonly Value[], holds: (value: Value) => boolean): number {
  let from = 0;
  let to = values.length;
  while (from < to) {
    const middle = Math.floor((from + to) / 2);
    if (holds(values[middle]!)) to = middle;
    else from = middle + 1;
  }
  return from;
}

/**
 * Queue of the requests to one service, ordered by four criteria: requests that have begun come first and
 * those that can't meet their latency goal last, then lower priority numbers, then workspaces with fewer recently served
 * requests, then earlier arrivals. The order is kept as requests come and go; what changes with time and with each
 * served request is taken into account when `refresh` is called, so that an event costs the same however many wait.
 */
export class WaitQueue<Item extends QueuedRequest> {
  /** Those that have begun; they may wait for something else than capacity. */
  private readonly begun: Entry<Item>[] = [];

  private readonly contending: Entry<Item>[] = [];

  private readonly entries = new Map<Item, Entry<Item>>();

  private readonly served = new ServedWorkspaces();

  private readonly servedInWindow = new SlidingWindowCounter(rateWindowMs);

  private sequence = 0;

  /** Number of contending fresh requests that were late at the last refresh. */
  private lateCount = 0;

  get length(): number {
    return this.entries.size;
  }

  /** Number of requests that wait for capacity; one that has begun may wait for something else. */
  get contenders(): number {
    return this.contending.length;
  }

  /** Adds a request at its place in the order. */
  enqueue(item: Item, now = item.arrivedAt): void {
    this.sequence += 1;
    const { sequence } = this;
    const entry = { item, sequence, rank: getRank(item, now), served: this.servedCount(item) };
    if (isLate(entry)) this.lateCount += 1;
    this.entries.set(item, entry);
    const list = this.listOf(item);
    list.splice(
      findFirst(list, (other) => compare(other, entry) > 0),
      0,
      entry,
    );
  }

  /** Removes a request; returns false when it is not queued. */
  remove(item: Item): boolean {
    const entry = this.entries.get(item);
    if (!entry) return false;
    this.entries.delete(item);
    if (isLate(entry)) this.lateCount -= 1;
    const list = this.listOf(item);
    list.splice(
      findFirst(list, (other) => compare(other, entry) >= 0),
      1,
    );
    return true;
  }

  has(item: Item): boolean {
    return this.entries.has(item);
  }

  /** Orders the requests by the time and by what was served since the last call. */
  refresh(now: number): void {
    this.lateCount = 0;
    [this.begun, this.contending].forEach((list) => {
      list.forEach((entry) => {
        Object.assign(entry, {
          rank: getRank(entry.item, now),
          served: this.servedCount(entry.item),
        });
        if (isLate(entry)) this.lateCount += 1;
      });
      list.sort(compare);
    });
  }

  /** The queued requests in the order in which they are to be dispatched. */
  inDispatchOrder(now: number): Item[] {
    this.refresh(now);
    return [...this.begun, ...this.contending].map(({ item }) => item);
  }

  /** The first of those that have begun and the first of the others, as they were ordered last. */
  first(count: number): Item[] {
    const heads = [...this.begun.slice(0, count), ...this.contending.slice(0, count)];
    return heads.map(({ item }) => item);
  }

  /** Number of requests that wait for capacity and would be dispatched before another one. */
  countAhead(request: QueuedRequest, now: number): number {
    const rank = getRank(request, now);
    return findFirst(
      this.contending,
      (entry) => (entry.rank - rank || entry.item.priority - request.priority) > 0,
    );
  }

  /**
   * Time until one more request would be dispatched at the rate of the last second, in milliseconds. Fresh requests
   * that are late come after it. `ahead` is the number of requests before it; by default, all that are not late.
   */
  expectedWaitMs(now: number, ahead = this.contending.length - this.lateCount): number {
    const rate = Math.max(minRate, this.servedInWindow.total(now) / rateWindowMs);
    return ahead / rate;
  }

  /** Records that a request of a workspace was sent, queued or not. */
  recordServed(workspace: string, now: number): void {
    this.servedInWindow.add(1, now);
    this.served.record(workspace);
  }

  private servedCount({ workspace }: Item): number {
    return this.served.count(workspace);
  }

  private listOf({ stage }: Item): Entry<Item>[] {
    return stage === RequestStage.begun ? this.begun : this.contending;
  }
}
