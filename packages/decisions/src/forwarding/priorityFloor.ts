/**
 * Part of the served share of all requests up to which each priority is served whatever is reserved. It
 * lies above the quarter that callers are promised, as not each request with a credit finds a place.
 */
const floorShare = 0.35;
/** Maximum credit, in requests: credits from a time without requests must not fill the reserve at once. */
const maxCredit = 2;

/**
 * The floor of each priority at one entry: a credit that grows with each arrival and pays for requests
 * that may use reserved places.
 */
export class PriorityFloor {
  private readonly credits = new Map<number, number>();

  /** Records an arrival, while `served` of all requests of the service are served, from 0 to 1. */
  recordArrival(priority: number, served: number): void {
    this.credits.set(priority, Math.min(maxCredit, this.creditOf(priority) + floorShare * served));
  }

  /** Takes the credit of a placed request. */
  recordPlacement(priority: number): void {
    this.credits.set(priority, Math.max(0, this.creditOf(priority) - 1));
  }

  /** Whether a request may use a reserved place. */
  covers(priority: number): boolean {
    return this.creditOf(priority) >= 1;
  }

  private creditOf(priority: number): number {
    return this.credits.get(priority) ?? 0;
  }
}
