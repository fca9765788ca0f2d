import { EndpointDied, Execution, RunNotFound } from '@laburnumstream/common';
import type { Failure } from '@laburnumstream/common';

/** What to do after a failed attempt. */
export const Recovery = {
  /** Reattach to the same run over a new connection. */
  reconnect: 'reconnect',
  /** Run at another endpoint, continuing where the response was cut off. */
  elsewhere: 'elsewhere',
  giveUp: 'giveUp',
} as const;

/** One of the values of {@link Recovery}. */
export type Recovery = (typeof Recovery)[keyof typeof Recovery];

/** What makes it safe to retry a request. */
export interface Idempotency {
  readonly nonIdempotent: boolean;
  /** Whether an idempotency key prevents a second run. */
  readonly keyed: boolean;
}

/** A failed attempt and its history. */
export interface FailedAttempt {
  readonly failure: Failure;
  /** Whether the connection to the agent broke, as opposed to a refusal by the agent. */
  readonly linkLost: boolean;
  /** Consecutive failed connections to this run. */
  readonly reconnects: number;
}

const maxReconnects = 2;

/** Failures worth a retry elsewhere although the request may have run. */
const retryableTypes = new Set<string>([
  EndpointDied.type,
  RunNotFound.type,
  'outcome_unknown',
  'timeout',
]);

/** Decides how to proceed after a failed attempt without running a non-idempotent request twice. */
export function decideRecovery(request: Idempotency, attempt: FailedAttempt): Recovery {
  const { failure, linkLost, reconnects } = attempt;
  const notRun = failure.execution === Execution.notRun;
  if (linkLost && !notRun && reconnects < maxReconnects) return Recovery.reconnect;
  // A connection refused after the dispatch doesn't show whether the request ran.
  if (request.nonIdempotent && !request.keyed && (reconnects > 0 || !notRun)) {
    return Recovery.giveUp;
  }
  if (notRun) {
    return failure.retryAfterMs === undefined ? Recovery.giveUp : Recovery.elsewhere;
  }
  // The key's claim protects the second attempt; a failure reported by the agent is final.
  if (request.nonIdempotent) return linkLost ? Recovery.elsewhere : Recovery.giveUp;
  return retryableTypes.has(failure.type) ? Recovery.elsewhere : Recovery.giveUp;
}
