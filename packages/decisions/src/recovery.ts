import { EndpointDied, Execution, RunNotFound } from '@laburnumstream/common';
import type { Failure } from '@laburnumstream/common';

/** What to do after a failed attempt. */
export const Recovery = {
  /** Attach to the same run over a new connection. */
  reconnect: 'reconnect',
  /** Run at another endpoint, from where the answer was cut. */
  elsewhere: 'elsewhere',
  giveUp: 'giveUp',
} as const;

/** One of the values of {@link Recovery}. */
export type Recovery = (typeof Recovery)[keyof typeof Recovery];

/** How a request may be repeated. */
export interface Idempotency {
  readonly nonIdempotent: boolean;
  /** Whether an idempotency key guards against a second run. */
  readonly keyed: boolean;
}

/** A failed attempt and what came before it. */
export interface FailedAttempt {
  readonly failure: Failure;
  /** Whether the connection to the agent broke, rather than the agent having refused. */
  readonly linkLost: boolean;
  /** Connections to this run that have failed in a row. */
  readonly reconnects: number;
}

const mostReconnects = 2;

/** Failures that a repetition elsewhere may cure although the request may have run. */
const curable = new Set<string>([
  EndpointDied.type,
  RunNotFound.type,
  'outcome_unknown',
  'timeout',
]);

/** Decides what follows a failed attempt, so that nothing non-idempotent runs twice. */
export function decideRecovery(request: Idempotency, attempt: FailedAttempt): Recovery {
  const { failure, linkLost, reconnects } = attempt;
  const notRun = failure.execution === Execution.notRun;
  if (linkLost && !notRun && reconnects < mostReconnects) return Recovery.reconnect;
  // A link that refuses connections after a dispatch says nothing about the dispatch.
  if (request.nonIdempotent && !request.keyed && (reconnects > 0 || !notRun)) {
    return Recovery.giveUp;
  }
  if (notRun) {
    return failure.retryAfterMs === undefined ? Recovery.giveUp : Recovery.elsewhere;
  }
  // A key's claim guards the second attempt; a refusal that named an outcome stands.
  if (request.nonIdempotent) return linkLost ? Recovery.elsewhere : Recovery.giveUp;
  return curable.has(failure.type) ? Recovery.elsewhere : Recovery.giveUp;
}
