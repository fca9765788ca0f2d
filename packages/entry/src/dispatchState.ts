import { EndpointDied, Execution, Failure, LinkLost, Timeout } from '@laburnumstream/common';
import { EndpointLoss, Recovery, decideRecovery } from '@laburnumstream/decisions';
import { usesIdempotencyKey } from './callerRequest.js';
import type { CallerRequest } from './callerRequest.js';
import { PartialResponse } from './partialResponse.js';

/** State of one request across its attempts: tried endpoints, partial response, possible runs. */
export class DispatchState {
  readonly partial = new PartialResponse();

  /** Names of the endpoints to which the request was dispatched. */
  readonly tried = new Set<string>();

  private isAlone = false;

  private attemptCount = 0;

  private lastLoss: EndpointLoss | undefined;

  private dispatchCount = 0;

  /** Consecutive failed connections to the current agent. */
  private reconnects = 0;

  /** Whether any failed attempt may have run. */
  private mayHaveRun = false;

  constructor(
    readonly request: CallerRequest,
    /** Wall-clock time at which the request times out, in milliseconds. */
    readonly deadline: number,
    readonly signal: AbortSignal,
  ) {}

  /** Whether the request must run while nothing else runs at its endpoint. */
  get alone(): boolean {
    return this.isAlone;
  }

  setAlone(alone: boolean): void {
    this.isAlone = alone;
  }

  /** Number of attempts so far, reconnects included. */
  get attempts(): number {
    return this.attemptCount;
  }

  /** Number of endpoints to which the request was dispatched. */
  get dispatches(): number {
    return this.dispatchCount;
  }

  /** Whether a reconnect may only attach to the earlier run and must not start another one. */
  get mayOnlyAttach(): boolean {
    return this.reconnects > 0 && this.request.nonIdempotent && !usesIdempotencyKey(this.request);
  }

  /** Records that the request goes to another endpoint. */
  recordDispatch(name: string): void {
    this.tried.add(name);
    this.dispatchCount += 1;
    this.reconnects = 0;
  }

  nextAttemptNumber(): number {
    this.attemptCount += 1;
    return this.attemptCount;
  }

  /**
   * Resets the reconnect count when a response part arrives, since the connection works. Keeps 1
   * after a reconnect, so that a non-idempotent run without a key is still only attached to.
   */
  recordProgress(): void {
    this.reconnects = Math.min(this.reconnects, 1);
  }

  /** How the endpoint was lost in the last failure; undefined when it was not lost. */
  get loss(): EndpointLoss | undefined {
    return this.lastLoss;
  }

  /** Records a failed attempt and decides how to recover from it. */
  handleFailure(failure: Failure): Recovery {
    if (failure.execution !== Execution.notRun) this.mayHaveRun = true;
    if (this.signal.aborted) return Recovery.giveUp;
    const { nonIdempotent } = this.request;
    const linkLost = failure instanceof LinkLost;
    const { reconnects } = this;
    this.lastLoss = this.classifyLoss(failure);
    const repeatability = { nonIdempotent, keyed: usesIdempotencyKey(this.request) };
    const recovery = decideRecovery(repeatability, { failure, linkLost, reconnects });
    if (recovery === Recovery.reconnect) this.reconnects += 1;
    return recovery;
  }

  private classifyLoss(failure: Failure): EndpointLoss | undefined {
    if (failure.type === EndpointDied.type) return EndpointLoss.endpoint;
    // An agent that accepted the request and now refuses connections was lost with its instance.
    const refused = failure instanceof LinkLost && failure.execution === Execution.notRun;
    return refused && this.reconnects > 0 ? EndpointLoss.instance : undefined;
  }

  /** The failure to report to the caller: `not run` only when that holds for every attempt. */
  toCallerFailure(failure: Failure): Failure {
    if (this.signal.aborted) return new Timeout('The time of the request is over.');
    const unsure = this.mayHaveRun || (usesIdempotencyKey(this.request) && !failure.keyUnused);
    if (failure.execution !== Execution.notRun || !unsure) return failure;
    const { type, message, status, retryAfterMs } = failure;
    const details = { status, execution: Execution.unknown };
    const retry = retryAfterMs === undefined ? {} : { retryAfterMs };
    return new Failure(type, message, { ...details, ...retry });
  }
}
