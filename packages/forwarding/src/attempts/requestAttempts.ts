import { Execution, OutcomeUnknown } from '@laburnumstream/common';
import type { Failure } from '@laburnumstream/common';
import {
  AttemptHistory,
  RequestStage,
  RetryPurpose,
  mayRetry,
  misdirectedStatus,
} from '@laburnumstream/decisions';
import type { EngineModel, Placement } from '@laburnumstream/decisions';
import type { Exchange } from '../callers/exchange.js';
import { Refusal, RefusalReason } from '../callers/refusal.js';
import type { Eligibility } from '../endpoints/eligibility.js';
import { CallFault } from '../endpoints/endpointCall.js';
import type { CallObserver } from '../endpoints/endpointCall.js';
import type { EndpointHandle } from '../endpoints/endpointHandle.js';
import type { PlacementRequest } from '../placement/placementRequest.js';
import type { Attempt, FailedAttempt } from './attempt.js';
import type { AttemptServices } from './attemptServices.js';
import { RetryDenial } from './cutCause.js';
import { sendAttempt } from './sendAttempt.js';

/**
 * Longest idle time of a connection on which a non-retryable request is sent, in milliseconds: the
 * endpoint may be closing one that was idle for longer.
 */
const maxNonRetryableIdleMs = 2_500;
/** Responses with status 421 to one request after which it no longer waits for weights; more count as refusals. */
const maxMisdirections = 3;
/** Delay after which a caller is asked to retry whose request endpoints have refused, if no time is known. */
const retryDelayMs = 500;
/** A caller with less than this share of its route's timeout left is taken to retry after a refusal. */
const callerRetryShare = 0.82;
/** Time that a running stream has to find another endpoint when it is to move, in milliseconds. */
const moveWaitMs = 800;
/** Expected response time of a plain service, in milliseconds. */
const plainResponseMs = 25;

/** Time within which the loss of an endpoint is known, in milliseconds: three missed heartbeats and more. */
const lossNoticeMs = 4_000;
/** Interval of checks whether it is known, in milliseconds. */
const lossPollMs = 20;

/** Faults that an endpoint causes when it ends. */
const breakingFaults: ReadonlySet<CallFault> = new Set([CallFault.broken, CallFault.truncated]);

/** Time from the start of a request to the end of its answer at a full engine, in milliseconds. */
function wholeAnswerMs(model: EngineModel, promptTokens: number, answerTokens: number): number {
  return model.firstEventMs(model.slots - 1, 0, promptTokens) + model.generationMs(answerTokens);
}

/** Returns an observer that passes events on to `observer`, and before them the status of the response to `onStatus`. */
function watchStatus(observer: CallObserver, onStatus: (status: number) => void): CallObserver {
  return {
    onHead(status, head, rawHeaders) {
      onStatus(status);
      observer.onHead(status, head, rawHeaders);
    },
    onData: (bytes) => observer.onData(bytes),
    onEnd: () => observer.onEnd(),
    onFailure: (fault, reason) => observer.onFailure(fault, reason),
  };
}

/** The attempts of one request: the endpoints that were tried, and whether it may be retried. */
export class RequestAttempts {
  private readonly history: AttemptHistory<EndpointHandle>;

  /** Whether the request is still running while another endpoint is sought. */
  private isMoving = false;

  /** Number of times that the request was sent to an endpoint. */
  sendCount = 0;

  /** Number of sends of which nothing reached an endpoint. */
  private unsentCount = 0;

  /** Status of the response to the last send; undefined before it. */
  private lastStatus: number | undefined;

  /** Number of responses with status 421: the request was not meant for the endpoint, or it holds no weights. */
  private misdirections = 0;

  /** Why the request was not sent again after its last failed attempt; undefined if it was. */
  retryDenial: RetryDenial | undefined;

  /** Monotonic time since when another endpoint is needed, in milliseconds. */
  private retryingSince: number | undefined;

  constructor(
    private readonly exchange: Exchange,
    private readonly services: AttemptServices,
    /** Whether the request may be executed more than once. */
    private readonly isRetryable: boolean,
  ) {
    const { budget, clock, directory } = services;
    this.history = new AttemptHistory(Math.max(1, exchange.route.maxAttempts), (handle) =>
      directory.isRunning(handle),
    );
    budget.recordRequest(exchange.service, clock.now());
  }

  /** Waits for an endpoint; rejects with a typed failure if there is none. */
  async place(signal: AbortSignal): Promise<Placement<EndpointHandle>> {
    const { queue, guard } = this.services;
    try {
      guard.check(this.exchange);
      if (this.isBegun) await this.waitForExecution(signal);
      else guard.checkHold(this.exchange);
      this.checkSize();
      const placement = await queue.place(this.createPlacementRequest(), signal);
      // It may have been quarantined while it waited.
      guard.check(this.exchange);
      return placement;
    } catch (error) {
      if (this.history.executions === 0) throw error;
      throw new OutcomeUnknown('No other endpoint could take the request.', error);
    }
  }

  /** Throws a `Refusal` for a request that no engine of its service can ever hold. */
  private checkSize(): void {
    const { head, service, deadlineAt } = this.exchange;
    const { directory, clock } = this.services;
    const handles = directory.forService(service);
    const isTooLarge = ({ memory }: EndpointHandle): boolean =>
      memory !== undefined && !memory.canHold(memory.neededTokens(head));
    if (handles.length === 0 || !handles.every(isTooLarge)) return;
    const message = 'The request is larger than the memory of an engine.';
    // A retry within the time that is left can't be served either.
    throw new Refusal(RefusalReason.overloaded, message, deadlineAt - clock.now());
  }

  /**
   * Waits until a begun request may be executed once more: an execution at an endpoint that was lost does
   * not count, but the loss is known a moment later only. So is whether a broken connection was a crash.
   */
  private async waitForExecution(signal: AbortSignal): Promise<void> {
    const { clock, guard, directory } = this.services;
    const until = clock.now() + lossNoticeMs;
    if (this.history.isLimitReached) this.retryDenial = RetryDenial.attemptsUsed;
    while (this.history.isLimitReached) {
      if (clock.now() >= until)
        throw new OutcomeUnknown('As many endpoints as allowed have executed the request.');
      await directory.checkLosses(this.history.executedEndpoints);
      await clock.sleep(lossPollMs, signal);
    }
    this.retryDenial = undefined;
    while (guard.isHeld(this.exchange)) await clock.sleep(lossPollMs, signal);
  }

  /** Records a failed attempt and returns whether to retry; only a begun request waits for the budget. */
  mayRetry({ attempt, execution, fault, reason }: FailedAttempt): boolean {
    const { exchange, services } = this;
    const { clock, metrics, log } = services;
    const { handle, call } = attempt;
    const now = clock.now();
    if (fault && breakingFaults.has(fault)) services.guard.recordBreak(handle, exchange);
    this.isMoving = false;
    this.retryingSince = now;
    const isMisdirected = fault === undefined && this.lastStatus === misdirectedStatus;
    if (!call.wasSent) this.unsentCount += 1;
    if (isMisdirected) this.misdirections += 1;
    if (execution !== Execution.notRun) this.history.recordExecution(handle, now);
    else if (!this.mayReturn(isMisdirected, call.wasSent)) this.recordRefusal(handle, fault, now);
    const denial = this.findDenial(execution);
    this.retryDenial = denial;
    const isRepeated = denial === undefined;
    metrics.count(isRepeated ? 'requests_repeated' : 'attempts_failed');
    if (fault) metrics.count(`attempts_${fault}`);
    log.info('Attempt failed.', {
      id: exchange.head.id,
      endpoint: handle.id,
      fault: fault ?? null,
      reason,
      // Compared between the failures of several endpoints, they tell what these have in common.
      ...(fault ? { parts: exchange.head.sharedParts.join() } : {}),
      ...call.stats,
      execution,
      isRepeatable: this.isRetryable,
      isRepeated,
      denial: denial ?? null,
      isWithinBudget: denial !== RetryDenial.budgetUsed,
      isBegun: this.isBegun,
      leftMs: Math.round(exchange.deadlineAt - now),
    });
    return isRepeated;
  }

  /**
   * Whether the endpoint that has not executed the request may get it again: it has no weights yet, or could not be
   * reached. The directory keeps requests from it for as long.
   */
  private mayReturn(isMisdirected: boolean, wasSent: boolean): boolean {
    return !this.isBegun && (isMisdirected ? this.waitsForWeights : !wasSent);
  }

  private recordRefusal(handle: EndpointHandle, fault: CallFault | undefined, now: number): void {
    if (fault) this.history.recordUnsent(handle, now);
    else this.history.recordRefusal(handle, now);
  }

  /** Returns why the request may not be retried after an attempt; undefined if it may. */
  private findDenial(execution: Execution): RetryDenial | undefined {
    const { exchange, isBegun } = this;
    const { budget, clock } = this.services;
    if (exchange.signal.aborted) return RetryDenial.aborted;
    if (!mayRetry(this.isRetryable, execution)) return RetryDenial.notRetryable;
    if (!this.history.allowsAttempt(isBegun)) return RetryDenial.attemptsUsed;
    // A begun request waits for the budget in the queue.
    if (isBegun || this.waitsForWeights || !this.isRetry) return undefined;
    if (budget.allows(exchange.service, clock.now(), RetryPurpose.failure)) return undefined;
    return RetryDenial.budgetUsed;
  }

  /** Whether the request could be retried elsewhere if its attempt at `handle` were aborted. */
  couldRetry(handle: EndpointHandle): boolean {
    const { exchange, services } = this;
    const { directory, budget, clock } = services;
    if (!this.isRetryable || !this.history.allowsReplacement(this.isBegun, handle)) return false;
    const isTried = (id: string): boolean => id === handle.id || this.isExcluded(id);
    const eligibility = this.eligibility(isTried);
    const { service } = exchange;
    // A begun request is not taken from its endpoint before another one is free.
    const hasEndpoint = this.isBegun
      ? directory.available(service, eligibility).length > 0
      : directory.canServe(service, eligibility);
    return hasEndpoint && budget.allows(service, clock.now(), this.retryPurpose);
  }

  /** Records that an attempt was completed with a successful response. */
  recordCompletion({ handle, call }: Attempt): void {
    this.services.guard.recordCompletion(handle, this.exchange, call.stats.framing);
  }

  /** Whether a running stream may move to another endpoint. */
  mayMove(handle: EndpointHandle): boolean {
    const { exchange, services } = this;
    const { maxAttempts } = exchange.route;
    if (!this.isRetryable || this.history.executions + 1 >= maxAttempts) return false;
    const now = services.clock.now();
    if (!services.budget.allows(exchange.service, now, RetryPurpose.move)) return false;
    this.history.excludeCurrent(handle);
    this.isMoving = true;
    this.retryingSince = now;
    return true;
  }

  /** Records that no endpoint was found for a move; the stream goes on where it runs. */
  cancelMove(): void {
    this.isMoving = false;
  }

  /** Records that the stream has moved; its previous endpoint counts as an execution. */
  recordMove(from: EndpointHandle): void {
    this.history.recordExecution(from, this.services.clock.now());
    this.isMoving = false;
  }

  /** Returns whether an endpoint may have executed the request, whose last attempt was aborted. */
  executionAfterAbort({ call }: Attempt): Execution {
    return call.wasSent || this.history.executions > 0 ? Execution.unknown : Execution.notRun;
  }

  /** Returns the failure of a request that was not executed by its last attempt and is not retried. */
  createRefusal(): Failure {
    if (this.history.executions > 0)
      return new OutcomeUnknown('An earlier attempt may have executed the request.');
    const message = 'The endpoints refused the request.';
    const delayMs = this.services.queue.findRetryDelay(this.createPlacementRequest(), retryDelayMs);
    return new Refusal(RefusalReason.endpointsRefused, message, delayMs);
  }

  private createPlacementRequest(): PlacementRequest {
    const { head, route, service, workspace, arrivedAt, deadlineAt } = this.exchange;
    const model = this.services.directory.forService(service)[0]?.model;
    const { promptTokens = 0 } = head;
    const outputTokens = head.expectedOutputTokens ?? head.maxOutputTokens ?? 0;
    const size = model?.sizeClass(promptTokens, outputTokens);
    const goalAt = this.getGoalAt();
    return {
      id: head.id,
      service,
      configurationVersion: this.exchange.configurationVersion,
      configurationAgeMs: this.exchange.configurationAgeMs,
      workspace: workspace?.name ?? '',
      priority: workspace?.priority ?? route.priority,
      arrivedAt: this.retryingSince ?? arrivedAt,
      stage: this.getStage(),
      startBy: model?.latestStart(goalAt, promptTokens) ?? goalAt - plainResponseMs,
      isRetryable: this.isRetryable,
      demand: { promptTokens, answerTokens: outputTokens, maxAnswerTokens: head.maxOutputTokens },
      fairnessGroups: size === undefined ? [route.name] : [route.name, size],
      eligibility: this.eligibility((id) => this.isExcluded(id)),
      goalAt,
      deadlineAt,
      latestStartAt:
        deadlineAt - (model ? wholeAnswerMs(model, promptTokens, outputTokens) : plainResponseMs),
      waitsPastGoal: this.waitsForWeights,
      ...(this.isRetry ? { acquireRetry: () => this.acquireRetry() } : {}),
    };
  }

  /** Whether a part of the request may have reached an endpoint before. */
  private get isRetry(): boolean {
    return this.sendCount > this.unsentCount;
  }

  /** Whether its last endpoint could not serve it, so that it waits for one that has weights. */
  private get waitsForWeights(): boolean {
    const { misdirections } = this;
    return misdirections > 0 && misdirections <= maxMisdirections && !this.isBegun;
  }

  /** Whether the caller has received a part of the response. */
  private get isBegun(): boolean {
    return this.exchange.response.headersSent;
  }

  private getStage(): RequestStage {
    if (this.isBegun) return this.isMoving ? RequestStage.moving : RequestStage.begun;
    const isCallerRetry = this.retryingSince === undefined && this.isCallerRetry();
    return isCallerRetry ? RequestStage.callerRetry : RequestStage.fresh;
  }

  private isExcluded(id: string): boolean {
    const { history, isBegun, services } = this;
    const now = services.clock.now();
    const admission = services.directory.get(id)?.begunAdmission;
    if (isBegun && !this.isMoving && admission?.allows(now) === false) return true;
    return history.isExcluded(id, isBegun, now, admission?.hasPlace(now));
  }

  /** Takes a retry or a move from the budget; returns false when its part is exhausted. */
  private acquireRetry(): boolean {
    const { budget, clock } = this.services;
    return budget.tryAcquire(this.exchange.service, clock.now(), this.retryPurpose);
  }

  private get retryPurpose(): RetryPurpose {
    if (this.isMoving) return RetryPurpose.move;
    return this.isBegun ? RetryPurpose.begun : RetryPurpose.failure;
  }

  private eligibility(isTried: (id: string) => boolean): Eligibility {
    const { route, workspace } = this.exchange;
    const homeRegions = [route.homeRegions, workspace?.homeRegions ?? []];
    const tried = { has: isTried, size: this.history.excludedEndpoints };
    return { homeRegions, tried, needsProof: this.waitsForWeights };
  }

  /** Whether the caller retries after a refusal: it has clearly less time left than its route allows. */
  private isCallerRetry(): boolean {
    const { head, route } = this.exchange;
    return (head.timeLeftMs ?? Infinity) < route.timeoutMs * callerRetryShare;
  }

  /** Returns the time by which the first event, or the next one of a resumed stream, should arrive. */
  private getGoalAt(): number {
    const { route, arrivedAt } = this.exchange;
    const { retryingSince } = this;
    const firstGoalAt = arrivedAt + route.latencyTargetMs;
    if (retryingSince === undefined) return firstGoalAt;
    return Math.max(
      firstGoalAt,
      retryingSince +
        (this.isMoving ? moveWaitMs : (route.eventGapTargetMs ?? route.latencyTargetMs)),
    );
  }

  /** Sends the request to an endpoint. */
  send(
    { target: handle }: Placement<EndpointHandle>,
    observer: CallObserver,
    lastEventId: number | undefined,
  ): Attempt {
    this.sendCount += 1;
    this.lastStatus = undefined;
    const maxIdleMs = this.isRetryable ? Infinity : maxNonRetryableIdleMs;
    const watched = watchStatus(observer, (status) => {
      this.lastStatus = status;
    });
    const options = { observer: watched, lastEventId, maxIdleMs, isBegun: this.isBegun };
    return sendAttempt(this.exchange, this.services, handle, options);
  }
}
