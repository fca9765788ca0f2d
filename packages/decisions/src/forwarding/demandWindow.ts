import { SlidingWindowCounter } from './slidingWindowCounter.js';

/** Outcomes of the requests of one priority in the last second. */
export interface PriorityCounts {
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly arrived: number;
  /** Sent to an endpoint where they were expected to start in time. */
  readonly placedInTime: number;
  /** Sent to an endpoint later than that. */
  readonly placedLate: number;
  readonly refused: number;
  /** Waiting now. */
  readonly waiting: number;
}

type Count = 'arrived' | 'placedInTime' | 'placedLate' | 'refused';
type Counters = Readonly<Record<Count, SlidingWindowCounter>>;

const windowMs = 1_000;

function createCounters(): Counters {
  return {
    arrived: new SlidingWindowCounter(windowMs),
    placedInTime: new SlidingWindowCounter(windowMs),
    placedLate: new SlidingWindowCounter(windowMs),
    refused: new SlidingWindowCounter(windowMs),
  };
}

/** Number of requests that were placed, in time or late. */
export function countServed({ placedInTime, placedLate }: PriorityCounts): number {
  return placedInTime + placedLate;
}

/** Part of the requests with a result that was served; 1 if there are none. */
export function servedShare(counts: readonly PriorityCounts[]): number {
  const served = counts.reduce((sum, each) => sum + countServed(each), 0);
  const refused = counts.reduce((sum, each) => sum + each.refused, 0);
  return served + refused === 0 ? 1 : served / (served + refused);
}

/** Adds up counts by priority, most urgent first. */
export function sumCounts(parts: readonly (readonly PriorityCounts[])[]): PriorityCounts[] {
  const sums = new Map<number, PriorityCounts>();
  parts.flat().forEach((part) => {
    const sum = sums.get(part.priority);
    sums.set(part.priority, {
      priority: part.priority,
      arrived: (sum?.arrived ?? 0) + part.arrived,
      placedInTime: (sum?.placedInTime ?? 0) + part.placedInTime,
      placedLate: (sum?.placedLate ?? 0) + part.placedLate,
      refused: (sum?.refused ?? 0) + part.refused,
      waiting: (sum?.waiting ?? 0) + part.waiting,
    });
  });
  return [...sums.values()].sort((a, b) => a.priority - b.priority);
}

/** Multiplies all counts; used to estimate the counts of other entries from the own ones. */
export function scaleCounts(counts: readonly PriorityCounts[], factor: number): PriorityCounts[] {
  return counts.map(({ priority, arrived, placedInTime, placedLate, refused, waiting }) => ({
    priority,
    arrived: arrived * factor,
    placedInTime: placedInTime * factor,
    placedLate: placedLate * factor,
    refused: refused * factor,
    waiting: waiting * factor,
  }));
}

/** Counts the results of one entry's requests to a service in the last second, by priority. */
export class DemandWindow {
  private readonly counters = new Map<number, Counters>();

  /** Counts an event of a request of a priority. */
  record(priority: number, count: Count, now: number): void {
    let counters = this.counters.get(priority);
    if (!counters) {
      counters = createCounters();
      this.counters.set(priority, counters);
    }
    counters[count].add(1, now);
  }

  /** Counts by priority, most urgent first; empty if there were no requests. */
  read(now: number): PriorityCounts[] {
    const all = [...this.counters].map(([priority, counters]) => {
      const arrived = counters.arrived.total(now);
      const placedInTime = counters.placedInTime.total(now);
      const placedLate = counters.placedLate.total(now);
      const refused = counters.refused.total(now);
      // Aborted requests have no result; they no longer count as waiting after the window.
      const waiting = Math.max(0, arrived - placedInTime - placedLate - refused);
      return { priority, arrived, placedInTime, placedLate, refused, waiting };
    });
    return all
      .filter((each) => each.arrived + countServed(each) + each.refused > 0)
      .sort((a, b) => a.priority - b.priority);
  }
}
