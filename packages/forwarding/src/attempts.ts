import { Execution, OutcomeUnknown } from '@laburnumstream/common';
import type { Clock, Failure, Log, Metrics } from '@laburnumstream/common';
import { mayRepeat } from '@laburnumstream/decisions';
import type { Placement, SharedRetryBudget } from '@laburnumstream/decisions';
import type { Attempt, FailedAttempt } from './attempt.js';
import type { DispatchLine, PlacedRequest } from './dispatchLine.js';
import { EndpointCall } from './endpointCall.js';
import type { CallObserver } from './endpointCall.js';
import type { Eligibility, EndpointDirectory } from './endpointDirectory.js';
import type { EndpointHandle } from './endpointHandle.js';
import type { Exchange } from './exchange.js';
import type { HeaderCodec } from './headerCodec.js';
import { Refusal, RefusalReason } from './refusal.js';

/** Longest idle time of a connection for a request that may not be repeated, in milliseconds. */
const freshIdleMs = 2_500;
const returnMs = 500;
/** Part of a route's time below which a caller's time left tells that it has waited before. */
const returnedShare = 0.82;
/** Time for which a stream that runs waits for another endpoint, in milliseconds. */
const movePatienceMs = 800;
/** Time of a plain service's answer, in milliseconds. */
const plainMs = 25;

/** What all requests share. */
export interface AttemptServices {
  readonly line: DispatchLine;
  readonly directory: EndpointDirectory;
  readonly budget: SharedRetryBudget;
  /** Called when this entry's load at an endpoint has changed. */
  readonly loadChanged: () => void;
  readonly codec: HeaderCodec;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly log: Log;
}

/** The attempts of one request: where it was sent, and whether it may be sent once more. */
export class Attempts {
  private readonly tried = new Set<string>();

  /** Endpoints that may have run it. */
  private runs = 0;

  /** Whether it still runs while another endpoint is sought. */
  private isMoving = false;

  /** Times that it was sent to an endpoint. */
  sends = 0;

  /** Monotonic time since when it has to go on elsewhere, in milliseconds. */
  private resumedAt: number | undefined;

  constructor(
    private readonly exchange: Exchange,
    private readonly services: AttemptServices,
    /** Whether it may run more than once. */
    private readonly isRepeatable: boolean,
  ) {
    const { budget, clock } = services;
    budget.earn(exchange.service, clock.now());
  }

  /** Waits for an endpoint; throws a typed failure when there is none. */
  async place(signal: AbortSignal): Promise<Placement<EndpointHandle>> {
    try {
      return await this.services.line.place(this.placedRequest(), signal);
    } catch (error) {
      if (this.runs === 0) throw error;
      throw new OutcomeUnknown('No other endpoint could take the request.', error);
    }
  }

  /**
   * Whether the request may be sent once more after an attempt that failed; takes it from the
   * budget.
   */
  mayRepeat({ attempt, execution, fault, reason }: FailedAttempt): boolean {
    const { exchange, services } = this;
    const { budget, clock, metrics, log } = services;
    const { handle, call } = attempt;
    if (execution !== Execution.notRun) this.runs += 1;
    this.isMoving = false;
    this.resumedAt = clock.now();
    this.tried.add(handle.id);
    const allowed =
      !exchange.signal.aborted &&
      mayRepeat(this.isRepeatable, execution) &&
      this.runs < Math.max(1, exchange.route.maxAttempts);
    const isRepeated = allowed && budget.spend(exchange.service, clock.now());
    metrics.count(isRepeated ? 'requests_repeated' : 'attempts_failed');
    if (fault) metrics.count(`attempts_${fault}`);
    log.info('Attempt failed.', {
      id: exchange.head.id,
      endpoint: handle.id,
      fault: fault ?? null,
      reason,
      ...call.evidence,
      execution,
      isRepeatable: this.isRepeatable,
      isRepeated,
      isWithinBudget: !allowed || isRepeated,
      leftMs: Math.round(exchange.deadlineAt - clock.now()),
    });
    return isRepeated;
  }

  /** Whether the request could go on elsewhere if its attempt at `handle` were given up. */
  couldRepeat(handle: EndpointHandle): boolean {
    const { exchange, services } = this;
    const { directory, budget, clock } = services;
    if (!this.isRepeatable || this.runs + 1 >= exchange.route.maxAttempts) return false;
    const tried = new Set([...this.tried, handle.id]);
    return (
      directory.canServe(exchange.service, this.eligibility(tried)) &&
      budget.fits(exchange.service, clock.now())
    );
  }

  /** Whether a stream that runs well may move to another endpoint; takes that from the budget. */
  mayMove(handle: EndpointHandle): boolean {
    const { exchange, services } = this;
    if (!this.isRepeatable || this.runs + 1 >= exchange.route.maxAttempts) return false;
    const now = services.clock.now();
    if (!services.budget.spendSpare(exchange.service, now)) return false;
    this.tried.add(handle.id);
    this.isMoving = true;
    this.resumedAt = now;
    return true;
  }

  /** The stream has moved: its endpoint has run it. */
  moved(): void {
    this.runs += 1;
    this.isMoving = false;
  }

  /** The failure for a request whose last attempt did not run it and that is not sent any more. */
  refusal(): Failure {
    if (this.runs > 0) return new OutcomeUnknown('An earlier attempt may have run the request.');
    const message = 'The endpoints refused the request.';
    return new Refusal(RefusalReason.endpointsRefused, message, returnMs);
  }

  private placedRequest(): PlacedRequest {
    const { head, route, service, workspace, arrivedAt, deadlineAt } = this.exchange;
    const model = this.services.directory.of(service)[0]?.model;
    const { promptTokens = 0 } = head;
    const answerTokens = head.expectedAnswerTokens ?? head.mostAnswerTokens ?? 0;
    const size = model?.sizeClass(promptTokens, answerTokens);
    const goalAt = this.goalAt();
    return {
      id: head.id,
      service,
      workspace: workspace?.name ?? '',
      priority: workspace?.priority ?? route.priority,
      arrivedAt: this.resumedAt ?? arrivedAt,
      isReturned: this.resumedAt === undefined && this.isReturned(),
      startBy: model?.latestStart(goalAt, promptTokens) ?? goalAt - plainMs,
      isRepeatable: this.isRepeatable,
      demand: { promptTokens, answerTokens },
      groups: size === undefined ? [route.name] : [route.name, size],
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
  private isReturned(): boolean {
    const { head, route } = this.exchange;
    return (head.timeLeftMs ?? Infinity) < route.timeoutMs * returnedShare;
  }

  /** Time by which the first event, or the next one of a stream that goes on, is of full use. */
  private goalAt(): number {
    const { route, arrivedAt } = this.exchange;
    const { resumedAt } = this;
    const firstGoalAt = arrivedAt + route.latencyTargetMs;
    if (resumedAt === undefined) return firstGoalAt;
    return Math.max(
      firstGoalAt,
      resumedAt +
        (this.isMoving ? movePatienceMs : (route.eventGapTargetMs ?? route.latencyTargetMs)),
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
    const { codec, clock, directory, line, loadChanged } = services;
    const headers = codec.encodeRequestHeaders(request.rawHeaders, {
      timeLeftMs: deadlineAt - clock.now(),
      endpointId: handle.id,
      hidesKey: workspace !== undefined,
      workspace: workspace?.name,
      lastEventId,
      priority: workspace?.priority ?? route.priority,
      weightsVersion: undefined,
    });
    const { method = 'GET', url = '/' } = request;
    const callRequest = { method, path: url, id: head.id, headers, body };
    const longestIdleMs = this.isRepeatable ? Infinity : freshIdleMs;
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
      line.look(exchange.service, handle);
    };
    directory.countSend(handle);
    this.sends += 1;
    handle.load.start(readMs);
    loadChanged();
    call.start();
    return { handle, call, wasRead, ended };
  }
}
