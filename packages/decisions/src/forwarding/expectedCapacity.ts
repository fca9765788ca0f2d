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

/**
 * Least part of the expected rate that is taken to be left for requests that wait, whatever arrives meanwhile: not
 * all new requests can be in time, and slots are kept free for those that can.
 */
const minRateShare = 0.2;

/**
 * Returns the monotonic time at which a request with `ahead` others before it is expected to be sent; infinite if none
 * is. New requests that arrive meanwhile, `arrivalsPerMs`, take their part of the rate.
 */
export function expectedTurnAt(
  capacities: readonly ExpectedCapacity[],
  ahead: number,
  arrivalsPerMs: number,
): number {
  const coming = [...capacities].sort((a, b) => a.at - b.at);
  let left = ahead;
  let rate = 0;
  let from = -Infinity;
  for (const { at, places, perMs } of coming) {
    const netRate = Math.max(rate * minRateShare, rate - arrivalsPerMs);
    const sent = rate > 0 ? (at - from) * netRate : 0;
    if (left < sent) return from + left / netRate;
    left -= sent;
    if (left < places) return at;
    left -= places;
    rate += perMs;
    from = at;
  }
  const netRate = Math.max(rate * minRateShare, rate - arrivalsPerMs);
  return netRate > 0 ? from + left / netRate : Infinity;
}
