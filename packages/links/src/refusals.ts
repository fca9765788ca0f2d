import { create } from '@bufbuild/protobuf';
import { Code, ConnectError } from '@connectrpc/connect';
import { Execution, Failure, OutcomeUnknown, Unavailable, toFailure } from '@laburnumstream/common';
import { RefusalSchema } from '@laburnumstream/protocol';
import type { Refusal } from '@laburnumstream/protocol';

const unreachableRetryMs = 200;
/** Statuses that a failure can have; one that has another counts as an internal one. */
const failureStatuses = { first: 400, last: 599, internal: 500 } as const;

function toFailureStatus(status: number): number {
  const { first, last, internal } = failureStatuses;
  return status >= first && status <= last ? status : internal;
}

/** Converts an error to a message. */
export function toRefusal(error: unknown): Refusal {
  const { type, message, status, execution, retryAfterMs, keyUnused } = toFailure(error);
  const refusal = { type, message, status, execution, keyUnused };
  return create(RefusalSchema, { ...refusal, retryAfterMs: retryAfterMs ?? 0 });
}

/** Converts a message to a failure. */
export function fromRefusal(refusal: Refusal): Failure {
  const { type, message, status, execution, retryAfterMs, keyUnused } = refusal;
  const known = Object.values(Execution).find((value) => value === execution);
  return new Failure(type, message, {
    status: toFailureStatus(status),
    execution: known ?? Execution.unknown,
    keyUnused,
    ...(retryAfterMs > 0 ? { retryAfterMs } : {}),
  });
}

/** Whether an error or one of its causes is a refused connection. */
function isConnectionRefused(error: unknown): boolean {
  let cause: unknown = error;
  while (cause instanceof Error) {
    if ((cause as { code?: unknown }).code === 'ECONNREFUSED') return true;
    cause = cause.cause;
  }
  return false;
}

/**
 * Converts the error of a broken call to a failure. Its execution is `not run` only when the connection
 * was refused or the peer rejected the secret.
 */
export function toLinkFailure(error: unknown): Failure {
  if (error instanceof Failure) return error;
  const refused = error instanceof ConnectError && error.code === Code.Unauthenticated;
  if (refused || isConnectionRefused(error)) {
    return new Unavailable('The peer cannot be reached.', unreachableRetryMs, error);
  }
  return new OutcomeUnknown(`The connection to the peer broke: ${String(error)}`, error);
}
