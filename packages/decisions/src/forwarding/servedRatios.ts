import { SlidingWindowCounter } from './slidingWindowCounter.js';

const windowMs = 6_000;
/** Requests at the overall ratio that are added to each group, to damp small samples. */
const priorRequests = 8;

interface GroupCounters {
  readonly arrived: SlidingWindowCounter;
  readonly served: SlidingWindowCounter;
}

function createCounters(): GroupCounters {
  return {
    arrived: new SlidingWindowCounter(windowMs),
    served: new SlidingWindowCounter(windowMs),
  };
}

/** Ratio of served to arrived requests in a sliding window, per group of requests and overall. */
export class ServedRatios {
  private readonly overall = createCounters();

  private readonly groups = new Map<string, GroupCounters>();

  /** Counts an arrived request in each of its groups. */
  recordArrival(groups: readonly string[], now: number): void {
    this.overall.arrived.add(1, now);
    groups.forEach((group) => this.getCounters(group).arrived.add(1, now));
  }

  /** Counts a served request in each of its groups. */
  recordServed(groups: readonly string[], now: number): void {
    this.overall.served.add(1, now);
    groups.forEach((group) => this.getCounters(group).served.add(1, now));
  }

  /** Sum over a request's groups of the group's ratio less the overall ratio. */
  surplus(groups: readonly string[], now: number): number {
    const arrived = this.overall.arrived.total(now);
    if (arrived === 0) return 0;
    const overallRatio = this.overall.served.total(now) / arrived;
    return groups.reduce((sum, group) => {
      const counters = this.getCounters(group);
      const served = counters.served.total(now) + priorRequests * overallRatio;
      return sum + served / (counters.arrived.total(now) + priorRequests) - overallRatio;
    }, 0);
  }

  private getCounters(group: string): GroupCounters {
    let counters = this.groups.get(group);
    if (!counters) {
      counters = createCounters();
      this.groups.set(group, counters);
    }
    return counters;
  }
}
