import { Timeout } from '@laburnumstream/common';
import { Refusal, RefusalReason } from '../callers/refusal.js';
import type { WaitEnd } from '../callers/waitEnd.js';

/** Why a request is not sent again after a failed attempt. */
export const RetryDenial = {
  /** The caller has disconnected, or the deadline has passed. */
  aborted: 'aborted',
  /** It may be executed once only, and may have been. */
  notRetryable: 'not_retryable',
  /** It may have been executed as often as its route allows. */
  attemptsUsed: 'attempts_used',
  /** The retry budget of the service is used up at this moment. */
  budgetUsed: 'budget_used',
} as const;

/** One of the values of {@link RetryDenial}. */
export type RetryDenial = (typeof RetryDenial)[keyof typeof RetryDenial];

const unknownCause = 'unknown';

/** Why a stream was cut whose caller had received events. */
export type CutCause = WaitEnd | RefusalReason | RetryDenial | typeof unknownCause;

/** Returns why a stream ended with an error; `denial` is why it was not retried at last, if it was not. */
export function findCutCause(error: unknown, denial: RetryDenial | undefined): CutCause {
  if (error instanceof Timeout) return RefusalReason.deadline;
  const failures = [error, error instanceof Error ? error.cause : undefined];
  const refusal = failures.find((failure) => failure instanceof Refusal);
  if (refusal) return refusal.waitEnd ?? refusal.reason;
  return denial ?? unknownCause;
}
