import { Execution, OutcomeUnknown } from '@laburnumstream/common';
import type { Clock, Failure, Log, Metrics } from '@laburnumstream/common';
import { mayRepeat } from '@laburnumstream/decisions';
import type { Placement, SharedRetryBudget } from '@laburnumstream/decisions';
import type { Attempt, FailedAttempt } from './attempt.js';
import type { DispatchQueue, PlacementRequest } from './dispatchLine.js';
import { EndpointCall } from './endpointCall.js';
import type { CallObserver } from './endpointCall.js';
import type { Eligibility, EndpointDirectory } from './endpointDirectory.js';
import type { EndpointHandle } from './endpointHandle.js';
import type { Exchange } from './exchange.js';
import type { HeaderCodec } from './headerCodec.js';
import { Refusal, RefusalReason } from './refusal.js';

/** Longest idle time of a connection for a request that may not be repeated, in milliseconds. */
const maxNonRetryableIdleMs = 2_500;
const retryDelayMs = 500;
/** Part of a route's time below which a caller's time left tells that it has waited before. */
const callerRetryShare = 0.82;
/** Time for which a stream that runs waits for another endpoint, in milliseconds. */
const moveWaitMs = 800;
/** Time of a plain service's answer, in milliseconds. */
const plainResponseMs = 25;

/** What all requests share. */
export interface AttemptServices {
  readonly queue: DispatchQueue;
  readonly directory: EndpointDirectory;
  readonly budget: SharedRetryBudget;
  /** Called when this entry's load at an endpoint has changed. */
  readonly onLoadChange: () => void;
  readonly codec: HeaderCodec;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly log: Log;
}

/** The attempts of one request: where it was sent, and whether it may be sent once more. */
export class RequestAttempts {
  private readonly tried = new Set<string>();

  /** Endpoints that may have run it. */
  private executions = 0;

  /** Whether it still runs while another endpoint is sought. */
  private isMoving = false;

  /** Times that it was sent to an endpoint. */
  sendCount = 0;

  /** Monotonic time since when it has to go on elsewhere, in milliseconds. */
  private retryingSince: number | undefined;

  constructor(
    private readonly exchange: Exchange,
    private readonly services: AttemptServices,
    /** Whether it may run more than once. */
    private readonly isRetryable: boolean,
  ) {
    const { budget, clock } = services;
    budget.earn(exchange.service, clock.now());
  }

  /** Waits for an endpoint; throws a typed failure when there is none. */
  async place(signal: AbortSignal): Promise<Placement<EndpointHandle>> {
    try {
      return await this.services.queue.place(this.createPlacementRequest(), signal);
    } catch (error) {
      if (this.executions === 0) throw error;
      throw new OutcomeUnknown('No other endpoint could take the request.', error);
    }
  }

  /**
   * Whether the request may be sent once more after an attempt that failed; takes it from the
   * budget.
   */
  mayRetry({ attempt, execution, fault, reason }: FailedAttempt): boolean {
    const { exchange, services } = this;
    const { budget, clock, metrics, log } = services;
    const { handle, call } = attempt;
    if (execution !== Execution.notRun) this.executions += 1;
    this.isMoving = false;
    this.retryingSince = clock.now();
    this.tried.add(handle.id);
    const allowed =
      !exchange.signal.aborted &&
      mayRepeat(this.isRetryable, execution) &&
      this.executions < Math.max(1, exchange.route.maxAttempts);
    const isRepeated = allowed && budget.spend(exchange.service, clock.now());
    metrics.count(isRepeated ? 'requests_repeated' : 'attempts_failed');
    if (fault) metrics.count(`attempts_${fault}`);
    log.info('Attempt failed.', {
      id: exchange.head.id,
      endpoint: handle.id,
      fault: fault ?? null,
      reason,
      ...call.stats,
      execution,
      isRepeatable: this.isRetryable,
      isRepeated,
      isWithinBudget: !allowed || isRepeated,
      leftMs: Math.round(exchange.deadlineAt - clock.now()),
    });
    return isRepeated;
  }

  /** Whether the request could go on elsewhere if its attempt at `handle` were given up. */
  couldRetry(handle: EndpointHandle): boolean {
    const { exchange, services } = this;
    const { directory, budget, clock } = services;
    if (!this.isRetryable || this.executions + 1 >= exchange.route.maxAttempts) return false;
    const tried = new Set([...this.tried, handle.id]);
    return (
      directory.canServe(exchange.service, this.eligibility(tried)) &&
      budget.fits(exchange.service, clock.now())
    );
  }

  /** Whether a stream that runs well may move to another endpoint; takes that from the budget. */
  mayMove(handle: EndpointHandle): boolean {
    const { exchange, services } = this;
    if (!this.isRetryable || this.executions + 1 >= exchange.route.maxAttempts) return false;
    const now = services.clock.now();
    if (!services.budget.spendSpare(exchange.service, now)) return false;
    this.tried.add(handle.id);
    this.isMoving = true;
    this.retryingSince = now;
    return true;
  }

  /** The stream has moved: its endpoint has run it. */
  recordMove(): void {
    this.executions += 1;
    this.isMoving = false;
  }

  /** The failure for a request whose last attempt did not run it and that is not sent any more. */
  createRefusal(): Failure {
    if (this.executions > 0)
      return new OutcomeUnknown('An earlier attempt may have run the request.');
    const message = 'The endpoints refused the request.';
    return new Refusal(RefusalReason.endpointsRefused, message, retryDelayMs);
  }

  private createPlacementRequest(): PlacementRequest {
    const { head, route, service, workspace, arrivedAt, deadlineAt } = this.exchange;
    const model = this.services.directory.forService(service)[0]?.model;
    const { promptTokens = 0 } = head;
    const answerTokens = head.expectedOutputTokens ?? head.maxOutputTokens ?? 0;
    const size = model?.sizeClass(promptTokens, answerTokens);
    const goalAt = this.getGoalAt();
    return {
      id: head.id,
      service,
      workspace: workspace?.name ?? '',
      priority: workspace?.priority ?? route.priority,
      arrivedAt: this.retryingSince ?? arrivedAt,
      isReturned: this.retryingSince === undefined && this.isCallerRetry(),
      startBy: model?.latestStart(goalAt, promptTokens) ?? goalAt - plainResponseMs,
      isRetryable: this.isRetryable,
      demand: { promptTokens, answerTokens },
      fairnessGroups: size === undefined ? [route.name] : [route.name, size],
      eligibility: this.eligibility(this.tried),
      goalAt,
      deadlineAt,
    };
  }

  private eligibility(tried: ReadonlySet<string>): Eligibility {
    const { route, workspace } = this.exchange;
    return { homeRegions: [route.homeRegions, workspace?.homeRegions ?? []], tried };
  }

  /** Whether the caller has waited before: it has clearly less time left than its route allows. */
  private isCallerRetry(): boolean {
    const { head, route } = this.exchange;
    return (head.timeLeftMs ?? Infinity) < route.timeoutMs * callerRetryShare;
  }

  /** Time by which the first event, or the next one of a stream that goes on, is of full use. */
  private getGoalAt(): number {
    const { route, arrivedAt } = this.exchange;
    const { retryingSince: resumedAt } = this;
    const firstGoalAt = arrivedAt + route.goalMs;
    if (resumedAt === undefined) return firstGoalAt;
    return Math.max(
      firstGoalAt,
      resumedAt + (this.isMoving ? moveWaitMs : (route.pauseGoalMs ?? route.goalMs)),
    );
  }

  /** Sends the request to an endpoint. */
  send(
    { target: handle }: Placement<EndpointHandle>,
    observer: CallObserver,
    lastEventId: number | undefined,
  ): Attempt {
    const { exchange, services } = this;
    const { request, head, route, workspace, body, deadlineAt } = exchange;
    const { codec, clock, directory, queue: line, onLoadChange: loadChanged } = services;
    const headers = codec.encodeRequestHeaders(request.rawHeaders, {
      timeLeftMs: deadlineAt - clock.now(),
      endpointId: handle.id,
      stripsKey: workspace !== undefined,
      workspace: workspace?.name,
      lastEventId,
      priority: workspace?.priority ?? route.priority,
      weightsVersion: undefined,
    });
    const { method = 'GET', url = '/' } = request;
    const callRequest = { method, path: url, id: head.id, headers, body };
    const longestIdleMs = this.isRetryable ? Infinity : maxNonRetryableIdleMs;
    const call = new EndpointCall(handle.pool, callRequest, longestIdleMs, codec, observer);
    const readMs = handle.model?.readMs(head.promptTokens ?? 0) ?? 0;
    let isRead = false;
    let isOver = false;
    const wasRead = (): void => {
      if (isRead) return;
      isRead = true;
      handle.load.read(readMs);
      loadChanged();
    };
    const ended = (): void => {
      if (isOver) return;
      isOver = true;
      wasRead();
      handle.load.end();
      loadChanged();
      line.dispatch(exchange.service, handle);
    };
    directory.recordSend(handle);
    this.sendCount += 1;
    handle.load.start(readMs);
    loadChanged();
    call.start();
    return { handle, call, markPromptRead: wasRead, markEnded: ended };
  }
}
