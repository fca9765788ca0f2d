import type { Placement } from '@laburnumstream/decisions';
import type { EndpointHandle } from '../endpoints/endpointHandle.js';
import type { PlacementRequest } from './placementRequest.js';

/** A request for which an endpoint is sought. */
export interface Candidate extends PlacementRequest {
  /** Key of the requests that the same endpoints may serve; undefined if endpoints are excluded after attempts. */
  readonly group: string | undefined;
  /** Number of available endpoints when all were last checked; undefined before that. */
  availableCount: number | undefined;
  /** Number of available endpoints at the last search, among all or those that had changed. */
  foundCount: number;
  /** Monotonic time since when the retry budget keeps it from an endpoint with room, in milliseconds. */
  budgetDeniedAt: number | undefined;
}

/** A request that waits in the queue. */
export interface PendingRequest extends Candidate {
  readonly resolve: (placement: Placement<EndpointHandle>) => void;
  readonly reject: (error: unknown) => void;
}

/** Creates the candidate for a request. */
export function createCandidate(request: PlacementRequest): Candidate {
  const { homeRegions, tried, needsProof = false } = request.eligibility;
  const group =
    tried.size > 0
      ? undefined
      : [needsProof, ...homeRegions.map((homes) => homes.join())].join(';');
  return { ...request, group, availableCount: undefined, foundCount: 0, budgetDeniedAt: undefined };
}
