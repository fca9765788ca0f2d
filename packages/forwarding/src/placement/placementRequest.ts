import type { Demand, QueuedRequest } from '@laburnumstream/decisions';
import type { Eligibility } from '../endpoints/eligibility.js';

/** A request for an endpoint. */
export interface PlacementRequest extends QueuedRequest {
  readonly id: string;
  readonly service: string;
  /** Version of the configuration that the request is placed by. */
  readonly configurationVersion: number;
  /** Age of that configuration at the request's arrival, in milliseconds. */
  readonly configurationAgeMs: number;
  readonly demand: Demand;
  /** Groups of requests that fairness is kept between: its route and its size class. */
  readonly fairnessGroups: readonly string[];
  readonly eligibility: Eligibility;
  /** Whether it may be executed more than once. */
  readonly isRetryable: boolean;
  /** Monotonic time by which its first event should arrive, in milliseconds. */
  readonly goalAt: number;
  /** Monotonic time by which its response must be complete, in milliseconds. */
  readonly deadlineAt: number;
  /** Latest monotonic time at which it can be sent and be complete by its deadline, in milliseconds. */
  readonly latestStartAt?: number;
  /** Whether it waits past its goal: an endpoint that could not serve has refused it. */
  readonly waitsPastGoal?: boolean;
  /** Takes a retry from the budget when it is placed; returns false while the budget is exhausted. */
  readonly acquireRetry?: () => boolean;
}
