/** Capacity of an endpoint that is expected to serve from some time on. */
export interface ExpectedCapacity {
  /** Whether it serves now. */
  readonly isServing: boolean;
  /** Monotonic time from which it serves, in milliseconds. */
  readonly at: number;
  /** Requests that it can take at once then. */
  readonly places: number;
  /** Requests per millisecond that it can take from then on. */
  readonly perMs: number;
}

/** Requests that are expected to have been sent by a time, and the rate from then on. */
interface TurnStep {
  readonly at: number;
  readonly sentBefore: number;
  readonly places: number;
  readonly perMs: number;
}

/**
 * Least part of the expected rate that is taken to be left for requests that wait, whatever arrives meanwhile: not
 * all new requests can be in time, and slots are kept free for those that can.
 */
const minRateShare = 0.2;

/** Expected turns of requests that wait for some endpoints. */
export class TurnSchedule {
  private readonly steps: readonly TurnStep[];

  /** New requests that arrive meanwhile, `arrivalsPerMs`, take their part of the rate. */
  constructor(capacities: readonly ExpectedCapacity[], arrivalsPerMs: number) {
    let sent = 0;
    let total = 0;
    let from = 0;
    let rate = 0;
    const coming = [...capacities].sort((a, b) => a.at - b.at);
    this.steps = coming.map(({ at, places, perMs }) => {
      sent += rate * (at - from);
      const sentBefore = sent;
      sent += places;
      total += perMs;
      rate = Math.max(total * minRateShare, total - arrivalsPerMs);
      from = at;
      return { at, sentBefore, places, perMs: rate };
    });
  }

  /**
   * Returns the monotonic time at which a request with `ahead` others before it is expected to be sent; infinite if
   * none is.
   */
  turnAt(ahead: number): number {
    for (let index = 0; index < this.steps.length; index += 1) {
      const { at, sentBefore, places, perMs } = this.steps[index]!;
      const next = this.steps[index + 1];
      if (ahead < sentBefore + places) return at;
      if (perMs > 0 && (!next || ahead < next.sentBefore))
        return at + (ahead - sentBefore - places) / perMs;
    }
    return Infinity;
  }
}
