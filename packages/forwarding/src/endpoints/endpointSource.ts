import type { ExpectedCapacity } from '@laburnumstream/decisions';
import type { Eligibility } from './eligibility.js';
import type { EndpointHandle } from './endpointHandle.js';

/** What the endpoints of a service have said of themselves. */
export interface ServiceStatements {
  /** Number of endpoints that have said that they leave. */
  readonly leaving: number;
  /** Number of endpoints that have asked for a pause that is not over. */
  readonly paused: number;
  /** Time until the first pause ends if all that could serve a request pause, or 0, in milliseconds. */
  readonly pauseLeftMs: number;
}

/** Provides the endpoints to which requests are dispatched. */
export interface EndpointSource {
  /** Returns the endpoints of a service. */
  forService(service: string): readonly EndpointHandle[];
  /** Returns those of some endpoints, by default all of a service, that can get a request now. */
  available(
    service: string,
    eligibility: Eligibility,
    among?: readonly EndpointHandle[],
  ): EndpointHandle[];
  /** Number of endpoints of a service whose named limits leave no room for this entry. */
  countLimited(service: string): number;
  /** Counts a request that has been placed on an endpoint, before the next one is placed. */
  recordPlacement(target: EndpointHandle): void;
  /** Whether any endpoint of a service could serve a request by `by` if it had free capacity. */
  canServe(service: string, eligibility: Eligibility, by?: number): boolean;
  /** Returns what the endpoints of a service have said, for requests of an eligibility. */
  summarizeStatements(service: string, eligibility: Eligibility): ServiceStatements;
  /**
   * Returns when the endpoints of a service are expected to serve and how much, for requests of an eligibility; without
   * it none is. Endpoints that pause are left out unless `withPauses` is set.
   */
  expectCapacity?(
    service: string,
    eligibility: Eligibility,
    withPauses: boolean,
  ): readonly ExpectedCapacity[];
}
