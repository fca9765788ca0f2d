/** Time after a refusal in which an endpoint gets no begun request, in milliseconds. */
const refusalRestMs = 250;
/** Time for which an endpoint that has taken a begun request is expected to take another, in milliseconds. */
const acceptanceMs = 200;
/** Time after which a refusal no longer counts, in milliseconds. */
const refusalMemoryMs = 2_000;
/** Cost of an endpoint that may refuse, while its last refusal is recent and later, in milliseconds. */
const doubtCostMs = { recent: 200, later: 100 } as const;

/**
 * Whether an endpoint has a place for requests that have begun, as far as the attempts of all of them tell.
 * Each refused attempt is missing in the retry budget, so after a refusal they ask there one at a time.
 */
export class BegunAdmission {
  private refusedAt = -Infinity;

  private acceptedAt = -Infinity;

  private restsUntil = -Infinity;

  /** Whether the endpoint may get a begun request now. */
  allows(now: number): boolean {
    return now >= this.restsUntil;
  }

  /** Whether the endpoint has taken a begun request a moment ago and refused none since. */
  hasPlace(now: number): boolean {
    return this.acceptedAt > this.refusedAt && now - this.acceptedAt < acceptanceMs;
  }

  /** Cost of a placement there because of the refusal that it may bring, in milliseconds. */
  costMs(now: number): number {
    const sinceRefusalMs = now - this.refusedAt;
    if (sinceRefusalMs >= refusalMemoryMs || this.hasPlace(now)) return 0;
    return sinceRefusalMs < refusalRestMs ? doubtCostMs.recent : doubtCostMs.later;
  }

  /** Records that a begun request was placed there; if in doubt, no other follows before its result. */
  recordPlacement(now: number): void {
    if (this.costMs(now) > 0) this.restsUntil = now + refusalRestMs;
  }

  /** Records whether it has taken a begun request, or refused it. */
  recordResult(isTaken: boolean, now: number): void {
    if (isTaken) this.acceptedAt = now;
    else this.refusedAt = now;
    this.restsUntil = isTaken ? -Infinity : now + refusalRestMs;
  }

  /** Records that a request has left the endpoint, which makes a place likely. */
  recordDeparture(): void {
    this.restsUntil = -Infinity;
  }
}
