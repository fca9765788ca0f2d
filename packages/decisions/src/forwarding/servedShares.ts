import { SlidingWindowCounter } from './slidingCount.js';

/** Time over which shares are taken, in milliseconds. */
const windowMs = 6_000;
/** Requests that each group is credited with at the overall share, so that a few say little. */
const credit = 8;

interface Counts {
  readonly asked: SlidingWindowCounter;
  readonly served: SlidingWindowCounter;
}

function makeCounts(): Counts {
  return { asked: new SlidingWindowCounter(windowMs), served: new SlidingWindowCounter(windowMs) };
}

/** How often requests of each group were served lately, compared with all. */
export class ServedRatios {
  private readonly all = makeCounts();

  private readonly groups = new Map<string, Counts>();

  /** A request of some groups has come. */
  recordArrival(groups: readonly string[], now: number): void {
    this.all.asked.add(1, now);
    groups.forEach((group) => this.of(group).asked.add(1, now));
  }

  /** A request of some groups is served. */
  recordServed(groups: readonly string[], now: number): void {
    this.all.served.add(1, now);
    groups.forEach((group) => this.of(group).served.add(1, now));
  }

  /** How much more often a request's groups were served than all, summed up; negative for less. */
  surplus(groups: readonly string[], now: number): number {
    const asked = this.all.asked.total(now);
    if (asked === 0) return 0;
    const overall = this.all.served.total(now) / asked;
    return groups.reduce((sum, group) => {
      const counts = this.of(group);
      const served = counts.served.total(now) + credit * overall;
      return sum + served / (counts.asked.total(now) + credit) - overall;
    }, 0);
  }

  private of(group: string): Counts {
    let counts = this.groups.get(group);
    if (!counts) {
      counts = makeCounts();
      this.groups.set(group, counts);
    }
    return counts;
  }
}
