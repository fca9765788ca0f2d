import { Execution, Timeout, Unavailable, toFailure } from '@laburnumstream/common';
import type { Failure } from '@laburnumstream/common';
import type { WaitEnd } from './waitEnd.js';

/** Delay after which callers are asked to retry while this entry can't serve them, in milliseconds. */
export const storeRetryDelayMs = 700;

/** Why a request was refused without having been executed. */
export const RefusalReason = {
  noConfiguration: 'no_configuration',
  /** The store has not confirmed recently enough that the request's key is still valid. */
  oldProof: 'old_proof',
  /** The route or key is unknown, but may have been added since the last update from the store. */
  oldConfiguration: 'old_configuration',
  /** No endpoint can respond in time. */
  overloaded: 'overloaded',
  /** All endpoints that were tried refused the request. */
  endpointsRefused: 'endpoints_refused',
  /** Endpoints crashed on this very request, and the last crash is not settled. */
  unsettledCrashes: 'unsettled_crashes',
  /** Endpoints crashed each time that they ran requests with such content. */
  crashingContent: 'crashing_content',
  /** The deadline passed while the request was queued. */
  deadline: 'deadline',
  /** Memory is short, and the unfinished request was selected to release some. */
  memory: 'memory',
  /** This process stops before the deadline of the request. */
  stopping: 'stopping',
} as const;

/** One of the values of {@link RefusalReason}. */
export type RefusalReason = (typeof RefusalReason)[keyof typeof RefusalReason];

/** A request was refused and has not been executed. */
export class Refusal extends Unavailable {
  constructor(
    readonly reason: RefusalReason,
    message: string,
    retryAfterMs: number,
    /** Why it could not wait for an endpoint, if that is the reason. */
    readonly waitEnd?: WaitEnd,
  ) {
    super(message, retryAfterMs);
  }
}

/** Maps the error of a request whose deadline has passed to the failure that its caller gets. */
export function toDeadlineFailure(error: unknown): Failure {
  const { execution } = toFailure(error);
  if (execution !== Execution.notRun) return new Timeout('The deadline has passed.');
  return new Refusal(RefusalReason.deadline, 'No endpoint was free before the deadline.', 0);
}
