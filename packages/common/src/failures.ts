/** Whether a failed request was executed, as guaranteed to its caller. */
export const Execution = {
  notRun: 'not run',
  unknown: 'unknown',
  ran: 'ran',
} as const;

/** One of the values of {@link Execution}. */
export type Execution = (typeof Execution)[keyof typeof Execution];

/** Properties of a failure besides its type and message. */
export interface FailureDetails {
  /** HTTP status code used on public interfaces. */
  readonly status?: number;
  /** Whether the request was executed; `notRun` by default. */
  readonly execution?: Execution;
  /** Delay before the next attempt, in milliseconds; absent if retrying cannot help. */
  readonly retryAfterMs?: number;
  /** Whether it is certain that no request with this idempotency key was executed. */
  readonly keyUnused?: boolean;
  readonly cause?: unknown;
}

/** Base class of all errors of the system; `type` is a stable, machine-readable identifier. */
export class Failure extends Error {
  readonly type: string;

  readonly status: number;

  readonly execution: Execution;

  readonly retryAfterMs: number | undefined;

  readonly keyUnused: boolean;

  constructor(type: string, message: string, details: FailureDetails = {}) {
    super(message, { cause: details.cause });
    this.name = new.target.name;
    this.type = type;
    this.status = details.status ?? 500;
    this.execution = details.execution ?? Execution.notRun;
    this.retryAfterMs = details.retryAfterMs;
    this.keyUnused = details.keyUnused ?? false;
  }
}

/** The input is malformed. */
export class InvalidInput extends Failure {
  constructor(message: string) {
    super('invalid_input', message, { status: 400 });
  }
}

/** The credentials are missing or invalid. */
export class Unauthenticated extends Failure {
  constructor(message = 'A valid bearer token is required.') {
    super('unauthenticated', message, { status: 401 });
  }
}

/** The credentials are valid but do not permit the operation. */
export class Forbidden extends Failure {
  constructor(message: string) {
    super('forbidden', message, { status: 403 });
  }
}

/** The requested object does not exist. */
export class NotFound extends Failure {
  constructor(message: string) {
    super('not_found', message, { status: 404 });
  }
}

/** The stored value has changed since it was read. */
export class Conflict extends Failure {
  constructor(message: string) {
    super('conflict', message, { status: 409 });
  }
}

/** The request's HTTP version cannot mark the end of a streamed response. */
export class VersionUnsupported extends Failure {
  constructor() {
    super('version_unsupported', 'Streams need HTTP/1.1.', { status: 505 });
  }
}

/** The input exceeds the size limit. */
export class TooLarge extends Failure {
  constructor(message: string) {
    super('too_large', message, { status: 413 });
  }
}

/** No capacity is available; the request was not executed. */
export class Overloaded extends Failure {
  static readonly type = 'overloaded';

  constructor(message: string, retryAfterMs: number) {
    super(Overloaded.type, message, { status: 429, retryAfterMs });
  }
}

/** No endpoint can currently accept the request; the request was not executed. */
export class Unavailable extends Failure {
  constructor(message: string, retryAfterMs: number, cause?: unknown) {
    super('unavailable', message, { status: 503, retryAfterMs, cause });
  }
}

/** The connection failed after dispatch, so it is unknown whether the request was executed. */
export class OutcomeUnknown extends Failure {
  constructor(message: string, cause?: unknown) {
    super('outcome_unknown', message, { status: 502, execution: Execution.unknown, cause });
  }
}

/** The peer sent a response with a status that HTTP does not define, so that its outcome is unknown. */
export class InvalidStatus extends Failure {
  constructor(status: number) {
    super('invalid_status', `The response has the invalid status ${status}.`, {
      status: 502,
      execution: Execution.unknown,
    });
  }
}

/** The peer sent more than any response of its kind may have, so that the response was given up. */
export class ResponseTooLarge extends Failure {
  constructor(reason: string, cause?: unknown) {
    super('response_too_large', `The response is too large: ${reason}.`, {
      status: 502,
      execution: Execution.unknown,
      cause,
    });
  }
}

/** The peer did not respond within the timeout. */
export class Timeout extends Failure {
  constructor(message: string, execution: Execution = Execution.unknown) {
    super('timeout', message, { status: 504, execution });
  }
}

/** The connection was not established within the timeout, so nothing was sent. */
export class ConnectTimeout extends Timeout {
  constructor() {
    super('No connection came to be in time.', Execution.notRun);
  }
}

/** The peer reset the connection: any response on it is incomplete, even if parts were received. */
export class ConnectionReset extends Failure {
  constructor(cause?: unknown) {
    super('connection_reset', 'The peer reset the connection.', {
      status: 502,
      execution: Execution.unknown,
      cause,
    });
  }
}

/** A response did not arrive, or stopped arriving before its end. */
export class TransferFailed extends Failure {
  constructor(message: string, cause?: unknown) {
    super('transfer_failed', message, { status: 502, execution: Execution.unknown, cause });
  }
}

/** The platform's key-value service is unreachable or responds with an error. */
export class StoreUnavailable extends Failure {
  constructor(message: string, cause?: unknown) {
    super('store_unavailable', message, {
      status: 503,
      execution: Execution.unknown,
      retryAfterMs: 2000,
      cause,
    });
  }
}

/** Another process has had no confirmation of its content from the store for too long. */
export class OldProof extends Failure {
  constructor(source: string, proofAgeMs: number) {
    const message = `The content of ${source} was confirmed ${Math.round(proofAgeMs)} ms ago.`;
    super('old_proof', message, { status: 503 });
  }
}

/** The store no longer keeps its history since the requested revision. */
export class HistoryLost extends Failure {
  constructor(target: string) {
    super('history_lost', `The store has no history for ${target}.`, { status: 410 });
  }
}

/** The change was definitely not applied to the configuration; resending it is safe. */
export class NotAccepted extends Failure {
  constructor(message: string, cause?: unknown) {
    super('not_accepted', `The change is not accepted: ${message}`, {
      status: 503,
      retryAfterMs: 2000,
      cause,
    });
  }
}

/** It is unknown whether the change was accepted; querying or resending it by its id is safe. */
export class AcceptanceUnknown extends Failure {
  constructor(
    readonly changeId: string,
    cause?: unknown,
  ) {
    super(
      'acceptance_unknown',
      `It is unknown whether the change ${changeId} was accepted; ask for it or resend it by this id.`,
      { status: 504, execution: Execution.unknown, retryAfterMs: 2000, cause },
    );
  }
}

/** Received data does not match its expected digest. */
export class Corrupted extends Failure {
  constructor(message: string) {
    super('corrupted', message, { status: 502, execution: Execution.unknown });
  }
}

/** The idempotency key has already been used with a different body. */
export class KeyReused extends Failure {
  constructor() {
    super('key_reused', 'The idempotency key belongs to a request with another body.', {
      status: 422,
      // The key belongs to another request, so this request was not executed in any case.
      keyUnused: true,
    });
  }
}

/** Another request with the same idempotency key is still in progress. */
export class InProgress extends Failure {
  constructor(retryAfterMs: number) {
    super('in_progress', 'A request with the same idempotency key is running.', {
      status: 409,
      execution: Execution.unknown,
      retryAfterMs,
    });
  }
}

/** The connection to an agent failed or timed out; keeps the properties of the original failure. */
export class LinkLost extends Failure {
  constructor({ type, message, status, execution, retryAfterMs }: Failure) {
    const details = { status, execution };
    super(type, message, retryAfterMs === undefined ? details : { ...details, retryAfterMs });
  }
}

/** The agent does not know the run that the entry tried to attach to. */
export class RunNotFound extends Failure {
  static readonly type = 'run_not_found';

  constructor() {
    super(RunNotFound.type, 'The agent does not know the run.', {
      status: 502,
      execution: Execution.unknown,
    });
  }
}

/** The endpoint crashed while executing the request. */
export class EndpointDied extends Failure {
  static readonly type = 'endpoint_died';

  constructor(cause?: unknown) {
    super(EndpointDied.type, 'The endpoint died while it ran the request.', {
      status: 502,
      execution: Execution.unknown,
      cause,
    });
  }
}

/** Endpoints crashed each time they executed the request; it is no longer executed. */
export class CrashingRequest extends Failure {
  constructor(execution: Execution) {
    super('crashing_request', 'Endpoints died while they ran this request.', {
      status: 422,
      execution,
    });
  }
}

/** An interrupted response cannot be resumed, as no endpoint serves the weights it began with. */
export class WeightsChanged extends Failure {
  constructor() {
    super('weights_changed', 'The weights that the answer began with are not served any more.', {
      status: 502,
      execution: Execution.notRun,
      retryAfterMs: 500,
    });
  }
}

/** The order carries a fencing number lower than the highest one seen. */
export class StaleOrder extends Failure {
  constructor(message: string) {
    super('stale_order', message, { status: 409 });
  }
}

/** The endpoint rejected an order although its fencing number was valid. */
export class OrderRefused extends Failure {
  constructor(message: string) {
    super('order_refused', message, { status: 422 });
  }
}

/** The operation was aborted by its owner. */
export class Aborted extends Failure {
  constructor(message = 'The operation was aborted.') {
    super('aborted', message, { status: 499, execution: Execution.unknown });
  }
}

/** The statechart has no transition for the event in the given state. */
export class IllegalTransition extends Failure {
  constructor(chart: string, state: string, event: string) {
    super('illegal_transition', `Chart ${chart} does not accept ${event} in state ${state}.`);
  }
}

/** A settings file is malformed. */
export class InvalidSettings extends Failure {
  constructor(message: string) {
    super('invalid_settings', message, { status: 400 });
  }
}

/** Converts any thrown value to a {@link Failure}. */
export function toFailure(error: unknown): Failure {
  if (error instanceof Failure) return error;
  const message = error instanceof Error ? error.message : String(error);
  return new Failure('internal', message, {
    status: 500,
    execution: Execution.unknown,
    cause: error,
  });
}
