/** Whether the work behind a failed request ran: the promise made to its caller. */
export const Execution = {
  notRun: 'not run',
  unknown: 'unknown',
  ran: 'ran',
} as const;

/** One of the values of {@link Execution}. */
export type Execution = (typeof Execution)[keyof typeof Execution];

/** What a failure tells its receiver besides its message. */
export interface FailureDetails {
  /** HTTP status code used on public interfaces. */
  readonly status?: number;
  /** Whether the request ran. */
  readonly execution?: Execution;
  /** Delay before the next try, in milliseconds; absent when a retry is useless. */
  readonly retryAfterMs?: number;
  /** Whether it is known that no request with the idempotency key has run. */
  readonly keyUnused?: boolean;
  readonly cause?: unknown;
}

/** Base class of every failure in the system; `type` is stable and machine-readable. */
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

/** The input does not have the required form. */
export class InvalidInput extends Failure {
  constructor(message: string) {
    super('invalid_input', message, { status: 400 });
  }
}

/** The credentials are missing or wrong. */
export class Unauthenticated extends Failure {
  constructor(message = 'A valid bearer token is required.') {
    super('unauthenticated', message, { status: 401 });
  }
}

/** The credentials are valid but do not allow the operation. */
export class Forbidden extends Failure {
  constructor(message: string) {
    super('forbidden', message, { status: 403 });
  }
}

/** The named object does not exist. */
export class NotFound extends Failure {
  constructor(message: string) {
    super('not_found', message, { status: 404 });
  }
}

/** The stored value changed since it was read. */
export class Conflict extends Failure {
  constructor(message: string) {
    super('conflict', message, { status: 409 });
  }
}

/** Streams need a version of HTTP whose answers tell their own end. */
export class VersionUnsupported extends Failure {
  constructor() {
    super('version_unsupported', 'Streams need HTTP/1.1.', { status: 505 });
  }
}

/** The input is larger than the limit. */
export class TooLarge extends Failure {
  constructor(message: string) {
    super('too_large', message, { status: 413 });
  }
}

/** No capacity is free; the request did not run. */
export class Overloaded extends Failure {
  static readonly type = 'overloaded';

  constructor(message: string, retryAfterMs: number) {
    super(Overloaded.type, message, { status: 429, retryAfterMs });
  }
}

/** No endpoint can take the request now; the request did not run. */
export class Unavailable extends Failure {
  constructor(message: string, retryAfterMs: number, cause?: unknown) {
    super('unavailable', message, { status: 503, retryAfterMs, cause });
  }
}

/** The connection broke after dispatch, so whether the request ran is unknown. */
export class OutcomeUnknown extends Failure {
  constructor(message: string, cause?: unknown) {
    super('outcome_unknown', message, { status: 502, execution: Execution.unknown, cause });
  }
}

/** The peer did not answer in time. */
export class Timeout extends Failure {
  constructor(message: string, execution: Execution = Execution.unknown) {
    super('timeout', message, { status: 504, execution });
  }
}

/** No connection came to be in time, so nothing was sent. */
export class ConnectTimeout extends Timeout {
  constructor() {
    super('No connection came to be in time.', Execution.notRun);
  }
}

/** The peer reset the connection: an answer on it has not ended, whatever of it has come. */
export class ConnectionReset extends Failure {
  constructor(cause?: unknown) {
    super('connection_reset', 'The peer reset the connection.', {
      status: 502,
      execution: Execution.unknown,
      cause,
    });
  }
}

/** The platform's key-value service cannot be reached or answers with a fault. */
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

/** The store no longer has the history after the revision that was asked for. */
export class HistoryLost extends Failure {
  constructor(what: string) {
    super('history_lost', `The store has no history for ${what}.`, { status: 410 });
  }
}

/** The change is certainly not part of the configuration; sending it again is safe. */
export class NotAccepted extends Failure {
  constructor(message: string, cause?: unknown) {
    super('not_accepted', `The change is not accepted: ${message}`, {
      status: 503,
      retryAfterMs: 2000,
      cause,
    });
  }
}

/** Whether the change was accepted is not known; asking or sending it again by its id is safe. */
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

/** Received bytes do not match their expected digest. */
export class Corrupted extends Failure {
  constructor(message: string) {
    super('corrupted', message, { status: 502, execution: Execution.unknown });
  }
}

/** The idempotency key was used before with another body. */
export class KeyReused extends Failure {
  constructor() {
    super('key_reused', 'The idempotency key belongs to a request with another body.', {
      status: 422,
      // Under a key that is another request's this one has not run, whatever came of the other.
      keyUnused: true,
    });
  }
}

/** Another request with the same idempotency key has not ended yet. */
export class InProgress extends Failure {
  constructor(retryAfterMs: number) {
    super('in_progress', 'A request with the same idempotency key is running.', {
      status: 409,
      execution: Execution.unknown,
      retryAfterMs,
    });
  }
}

/** The connection to an agent broke or went silent; carries what that says of the request. */
export class LinkLost extends Failure {
  constructor({ type, message, status, execution, retryAfterMs }: Failure) {
    const details = { status, execution };
    super(type, message, retryAfterMs === undefined ? details : { ...details, retryAfterMs });
  }
}

/** The agent does not know the run that is to be attached to. */
export class RunNotFound extends Failure {
  static readonly type = 'run_not_found';

  constructor() {
    super(RunNotFound.type, 'The agent does not know the run.', {
      status: 502,
      execution: Execution.unknown,
    });
  }
}

/** The endpoint died while it ran the request. */
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

/** Endpoints died whenever they ran the request; it is not run any more. */
export class CrashingRequest extends Failure {
  constructor(execution: Execution) {
    super('crashing_request', 'Endpoints died while they ran this request.', {
      status: 422,
      execution,
    });
  }
}

/** No endpoint serves the weights with which a cut answer began. */
export class WeightsChanged extends Failure {
  constructor() {
    super('weights_changed', 'The weights that the answer began with are not served any more.', {
      status: 502,
      execution: Execution.notRun,
      retryAfterMs: 500,
    });
  }
}

/** The order carries a fencing number lower than one already seen. */
export class StaleOrder extends Failure {
  constructor(message: string) {
    super('stale_order', message, { status: 409 });
  }
}

/** The endpoint refused an order that carried a valid fencing number. */
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

/** The event is not allowed in the present state of a chart. */
export class IllegalTransition extends Failure {
  constructor(chart: string, state: string, event: string) {
    super('illegal_transition', `Chart ${chart} does not accept ${event} in state ${state}.`);
  }
}

/** A settings file does not have the required form. */
export class InvalidSettings extends Failure {
  constructor(message: string) {
    super('invalid_settings', message, { status: 400 });
  }
}

/** Turns anything thrown into a {@link Failure}. */
export function toFailure(error: unknown): Failure {
  if (error instanceof Failure) return error;
  const message = error instanceof Error ? error.message : String(error);
  return new Failure('internal', message, {
    status: 500,
    execution: Execution.unknown,
    cause: error,
  });
}
