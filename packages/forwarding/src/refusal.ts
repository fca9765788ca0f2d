import { Execution, Timeout, Unavailable, toFailure } from '@laburnumstream/common';
import type { Failure } from '@laburnumstream/common';

/** Why a request was refused without having run. */
export const RefusalReason = {
  noConfiguration: 'no_configuration',
  /** The proof that its key was not taken away is too old. */
  oldProof: 'old_proof',
  /** Its route or key is not known, and may have been added since. */
  oldConfiguration: 'old_configuration',
  /** No endpoint can answer in time. */
  overloaded: 'overloaded',
  /** The endpoints that it was sent to refused it. */
  endpointsRefused: 'endpoints_refused',
  /** Its deadline came while it waited. */
  deadline: 'deadline',
} as const;

/** One of the values of {@link RefusalReason}. */
export type RefusalReason = (typeof RefusalReason)[keyof typeof RefusalReason];

/** A request was refused; it did not run. */
export class Refusal extends Unavailable {
  constructor(
    readonly reason: RefusalReason,
    message: string,
    retryAfterMs: number,
  ) {
    super(message, retryAfterMs);
  }
}

/** The failure of a request whose deadline has passed. */
export function toDeadlineFailure(error: unknown): Failure {
  const { execution } = toFailure(error);
  if (execution !== Execution.notRun) return new Timeout('The deadline has passed.');
  return new Refusal(RefusalReason.deadline, 'No endpoint was free before the deadline.', 0);
}
