import { Execution, OutcomeUnknown, Unavailable } from '@laburnumstream/common';
import type { Clock, Failure, Log, Metrics } from '@laburnumstream/common';
import { mayRepeat } from '@laburnumstream/decisions';
import type { Placement, SharedRetryBudget } from '@laburnumstream/decisions';
import type { DispatchLine, PlacedRequest } from './dispatchLine.js';
import { EndpointCall } from './endpointCall.js';
import type { CallObserver } from './endpointCall.js';
import type { EndpointDirectory } from './endpointDirectory.js';
import type { EndpointHandle } from './endpointHandle.js';
import type { Exchange } from './exchange.js';
import type { HeaderCodec } from './headerCodec.js';

/** Longest idle time of a connection for a request that may not be repeated, in milliseconds. */
const freshIdleMs = 2_500;
const returnMs = 500;

/** What all requests share. */
export interface AttemptServices {
  readonly line: DispatchLine;
  readonly directory: EndpointDirectory;
  readonly budget: SharedRetryBudget;
  readonly codec: HeaderCodec;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly log: Log;
}

/** One send of a request, from its placement to its end. */
export interface Attempt {
  readonly handle: EndpointHandle;
  readonly call: EndpointCall;
  /** The endpoint has read the prompt. */
  wasRead(): void;
  /** The endpoint is done with the request. */
  ended(): void;
}

/** The attempts of one request: where it was sent, and whether it may be sent once more. */
export class Attempts {
  private readonly tried = new Set<string>();

  /** Endpoints that may have run it. */
  private runs = 0;

  constructor(
    private readonly exchange: Exchange,
    private readonly services: AttemptServices,
    /** Whether it may run more than once. */
    private readonly isRepeatable: boolean,
  ) {
    const { budget, clock } = services;
    budget.earn(exchange.service, clock.now());
  }

  /** Waits for an endpoint and sends the request there; throws `Unavailable`. */
  async send(observer: CallObserver, lastEventId: number | undefined): Promise<Attempt> {
    const { target: handle } = await this.place();
    return this.dispatch(handle, observer, lastEventId);
  }

  /**
   * Whether the request may be sent once more after an attempt that ended with `execution`; takes it
   * from the budget.
   */
  mayRepeat(handle: EndpointHandle, execution: Execution, reason: string): boolean {
    const { exchange, services } = this;
    const { budget, clock, metrics, log } = services;
    if (execution !== Execution.notRun) this.runs += 1;
    this.tried.add(handle.id);
    const allowed =
      !exchange.signal.aborted &&
      mayRepeat(this.isRepeatable, execution) &&
      this.runs < Math.max(1, exchange.route.maxAttempts);
    const isRepeated = allowed && budget.spend(exchange.service, clock.now());
    metrics.count(isRepeated ? 'requests_repeated' : 'attempts_failed');
    log.info('Attempt failed.', {
      id: exchange.head.id,
      endpoint: handle.id,
      reason,
      execution,
      isRepeated,
      isWithinBudget: !allowed || isRepeated,
      leftMs: Math.round(exchange.deadlineAt - clock.now()),
    });
    return isRepeated;
  }

  /** The failure for a request whose last attempt did not run it and that is not sent any more. */
  refusal(): Failure {
    if (this.runs > 0) return new OutcomeUnknown('An earlier attempt may have run the request.');
    return new Unavailable('The endpoints refused the request.', returnMs);
  }

  private async place(): Promise<Placement<EndpointHandle>> {
    try {
      return await this.services.line.place(this.placedRequest(), this.exchange.signal);
    } catch (error) {
      if (this.runs === 0) throw error;
      throw new OutcomeUnknown('No other endpoint could take the request.', error);
    }
  }

  private placedRequest(): PlacedRequest {
    const { head, route, service, workspace, arrivedAt, deadlineAt } = this.exchange;
    return {
      id: head.id,
      service,
      workspace: workspace?.name ?? '',
      priority: workspace?.priority ?? route.priority,
      arrivedAt,
      demand: { promptTokens: head.promptTokens ?? 0 },
      eligibility: {
        homeRegions: [route.homeRegions, workspace?.homeRegions ?? []],
        tried: this.tried,
      },
      goalAt: arrivedAt + route.goalMs,
      deadlineAt,
    };
  }

  private dispatch(
    handle: EndpointHandle,
    observer: CallObserver,
    lastEventId: number | undefined,
  ): Attempt {
    const { exchange, services } = this;
    const { request, head, route, workspace, body, deadlineAt } = exchange;
    const { codec, clock, directory, line } = services;
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
    };
    const ended = (): void => {
      if (isOver) return;
      isOver = true;
      wasRead();
      handle.load.end();
      line.look(exchange.service);
    };
    directory.countSend(handle);
    handle.load.start(readMs);
    call.start();
    return { handle, call, wasRead, ended };
  }
}
