import type { Candidate } from './candidate.js';

/**
 * Bounds the search for places in one pass through a queue: where none was found for some requests, those behind
 * them that the same endpoints may serve are not tried.
 */
export class SearchBounds {
  /** Number of requests for which no place was found, by group; infinite where no endpoint has room. */
  private readonly failures = new Map<string, number>();

  constructor(private readonly maxFailures: number) {}

  /** Whether a place is to be sought for a request. */
  allows({ group }: Candidate): boolean {
    return group === undefined || (this.failures.get(group) ?? 0) < this.maxFailures;
  }

  /** Whether an endpoint had room for a request of the same group when a place was sought last. */
  hasRoom({ group }: Candidate): boolean {
    return group === undefined || this.failures.get(group) !== Infinity;
  }

  /** Records that no place was found for a request. */
  recordFailure({ group, foundCount }: Candidate): void {
    if (group === undefined) return;
    const known = this.failures.get(group) ?? 0;
    this.failures.set(group, foundCount === 0 ? Infinity : known + 1);
  }
}
