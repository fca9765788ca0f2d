import { EndpointDied, Execution, Failure, LinkLost, Timeout } from '@laburnumstream/common';
import { EndpointLoss, Recovery, decideRecovery } from '@laburnumstream/decisions';
import { isKeyed } from './callerRequest.js';
import type { CallerRequest } from './callerRequest.js';
import { PartialAnswer } from './partialAnswer.js';

/** A request on its way: what was tried, what has come and what may have run. */
export class Course {
  readonly partial = new PartialAnswer();

  readonly tried = new Set<string>();

  private isAlone = false;

  private attemptCount = 0;

  private lossKind: EndpointLoss | undefined;

  private dispatchCount = 0;

  private reconnects = 0;

  /** Whether an attempt ended without it being known that it did not run. */
  private mayHaveRun = false;

  constructor(
    readonly request: CallerRequest,
    /** Wall-clock time at which the request ends, in milliseconds. */
    readonly deadline: number,
    readonly signal: AbortSignal,
  ) {}

  /** Whether the request runs alone at its endpoint. */
  get alone(): boolean {
    return this.isAlone;
  }

  judge(alone: boolean): void {
    this.isAlone = alone;
  }

  get attempts(): number {
    return this.attemptCount;
  }

  get dispatches(): number {
    return this.dispatchCount;
  }

  /** Whether a new attempt at the same agent must not start another run. */
  get mayOnlyAttach(): boolean {
    return this.reconnects > 0 && this.request.nonIdempotent && !isKeyed(this.request);
  }

  dispatchTo(name: string): void {
    this.tried.add(name);
    this.dispatchCount += 1;
    this.reconnects = 0;
  }

  nextAttempt(): number {
    this.attemptCount += 1;
    return this.attemptCount;
  }

  /** Parts of the answer come: the connection works. */
  progress(): void {
    this.reconnects = Math.min(this.reconnects, 1);
  }

  /** How the endpoint of the last dispatch was lost under the request, if it was. */
  get loss(): EndpointLoss | undefined {
    return this.lossKind;
  }

  /** Notes what a failure says of the run and decides what follows. */
  recover(failure: Failure): Recovery {
    if (failure.execution !== Execution.notRun) this.mayHaveRun = true;
    if (this.signal.aborted) return Recovery.giveUp;
    const { nonIdempotent } = this.request;
    const linkLost = failure instanceof LinkLost;
    const { reconnects } = this;
    this.lossKind = this.lossOf(failure);
    const repeatability = { nonIdempotent, keyed: isKeyed(this.request) };
    const recovery = decideRecovery(repeatability, { failure, linkLost, reconnects });
    if (recovery === Recovery.reconnect) this.reconnects += 1;
    return recovery;
  }

  private lossOf(failure: Failure): EndpointLoss | undefined {
    if (failure.type === EndpointDied.type) return EndpointLoss.endpoint;
    // The agent refuses connections after it took the request: its instance is gone.
    const refused = failure instanceof LinkLost && failure.execution === Execution.notRun;
    return refused && this.reconnects > 0 ? EndpointLoss.instance : undefined;
  }

  /** The failure as the caller gets it: `not run` only where it holds for all attempts. */
  final(failure: Failure): Failure {
    if (this.signal.aborted) return new Timeout('The time of the request is over.');
    const unsure = this.mayHaveRun || (isKeyed(this.request) && !failure.keyUnused);
    if (failure.execution !== Execution.notRun || !unsure) return failure;
    const { type, message, status, retryAfterMs } = failure;
    const details = { status, execution: Execution.unknown };
    const retry = retryAfterMs === undefined ? {} : { retryAfterMs };
    return new Failure(type, message, { ...details, ...retry });
  }
}
