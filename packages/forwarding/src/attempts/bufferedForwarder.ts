import { Execution, OutcomeUnknown, Timeout } from '@laburnumstream/common';
import { ResponseAction, AttemptOutcome, classifyResponse } from '@laburnumstream/decisions';
import type { Attempt } from './attempt.js';
import { RequestAttempts } from './requestAttempts.js';
import type { AttemptServices } from './attemptServices.js';
import { ResponseCollector } from './responseCollector.js';
import type { CallOutcome, BufferedResponse } from './responseCollector.js';
import { CallFault, executionOf, isEndpointFault } from '../endpoints/endpointCall.js';
import { deadlineExceeded } from '../callers/exchange.js';
import type { Exchange } from '../callers/exchange.js';

/** Minimum timeout of an attempt that can be retried elsewhere, in milliseconds. */
const minAttemptTimeoutMs = 250;
/** Timeout of such an attempt as a multiple of its expected response time. */
const attemptTimeoutFactor = 5;

/** Forwards requests whose responses are buffered and delivered when they are complete. */
export class BufferedForwarder {
  constructor(
    private readonly services: AttemptServices,
    private readonly isIdempotent: boolean,
  ) {}

  /** Retries the request until a response is delivered; rejects with a typed failure if none is. */
  async forward(exchange: Exchange): Promise<void> {
    const attempts = new RequestAttempts(exchange, this.services, this.isIdempotent);
    for (;;) {
      const placement = await attempts.place(exchange.signal);
      const collector = new ResponseCollector(this.services.memory);
      const attempt = attempts.send(placement, collector, exchange.head.lastEventId);
      const timer = this.startAttemptTimer(attempts, attempt, collector, placement.expectedMs);
      const outcome = await this.waitForOutcome(attempts, attempt, collector, exchange).finally(
        () => {
          clearTimeout(timer);
          collector.release();
        },
      );
      attempt.markEnded();
      const isDone =
        outcome.kind === 'response'
          ? this.handleResponse(exchange, attempts, attempt, outcome.response)
          : this.handleFault(attempts, attempt, outcome.fault, outcome.reason);
      if (isDone) return;
    }
  }

  /** Aborts an attempt that takes much longer than expected, if the request can be retried elsewhere. */
  private startAttemptTimer(
    attempts: RequestAttempts,
    attempt: Attempt,
    collector: ResponseCollector,
    expectedMs: number,
  ): NodeJS.Timeout | undefined {
    if (!this.isIdempotent) return undefined;
    const ms = Math.max(minAttemptTimeoutMs, expectedMs * attemptTimeoutFactor);
    return setTimeout(() => {
      if (!attempts.couldRetry(attempt.handle)) return;
      attempt.call.abort();
      collector.onFailure(CallFault.silent, `no response for ${Math.round(ms)} ms`);
    }, ms);
  }

  /** Resolves with the outcome of an attempt; rejects with `Timeout` if the request is aborted first. */
  private waitForOutcome(
    attempts: RequestAttempts,
    attempt: Attempt,
    collector: ResponseCollector,
    { signal }: Exchange,
  ) {
    return new Promise<CallOutcome>((resolve, reject) => {
      const stop = (): void => {
        const execution = attempts.executionAfterAbort(attempt);
        if (signal.reason === deadlineExceeded) this.recordHealth(attempt, AttemptOutcome.failed);
        attempt.call.abort();
        attempt.markEnded();
        reject(new Timeout('The endpoint did not respond in time.', execution));
      };
      if (signal.aborted) stop();
      signal.addEventListener('abort', stop, { once: true });
      void collector.outcome.then((outcome) => {
        signal.removeEventListener('abort', stop);
        resolve(outcome);
      });
    });
  }

  /** Delivers a response and returns true, or returns false when the request is to be retried. */
  private handleResponse(
    exchange: Exchange,
    attempts: RequestAttempts,
    attempt: Attempt,
    response: BufferedResponse,
  ): boolean {
    const { handle } = attempt;
    const { status, head } = response;
    const { load } = head;
    if (load) {
      const { clock } = this.services;
      handle.load.applyReport(
        { ...load, slowdown: 1 },
        handle.load.ownRequests + 1,
        Infinity,
        clock.now(),
      );
    }
    const { action, execution, outcome } = classifyResponse({ status, ...head });
    this.recordHealth(attempt, outcome);
    if (action === ResponseAction.deliver) {
      handle.recordSignOfLife(this.services.clock.now());
      attempts.recordCompletion(attempt);
      this.deliver(exchange, attempt, response);
      return true;
    }
    const reason = `status ${status}`;
    if (attempts.mayRetry({ attempt, execution, fault: undefined, reason })) return false;
    if (action === ResponseAction.deliverIfLast) {
      this.deliver(exchange, attempt, response);
      return true;
    }
    if (execution === Execution.notRun) throw attempts.createRefusal();
    throw new OutcomeUnknown('The endpoint sent no valid response.');
  }

  private handleFault(
    attempts: RequestAttempts,
    attempt: Attempt,
    fault: CallFault,
    reason: string,
  ): boolean {
    if (isEndpointFault(fault)) this.recordHealth(attempt, AttemptOutcome.failed);
    const execution = executionOf(fault);
    if (attempts.mayRetry({ attempt, execution, fault, reason })) return false;
    if (execution === Execution.notRun) throw attempts.createRefusal();
    throw new OutcomeUnknown('The connection to the endpoint failed.');
  }

  private recordHealth({ handle }: Attempt, outcome: AttemptOutcome): void {
    handle.health.recordAttempt(outcome, this.services.clock.now());
  }

  private deliver(
    { response, head, service, arrivedAt }: Exchange,
    { handle, call }: Attempt,
    { status, rawHeaders, body }: BufferedResponse,
  ): void {
    const { clock, log } = this.services;
    log.info('Request answered.', {
      id: head.id,
      service,
      endpoint: handle.id,
      status,
      ...call.stats,
      ms: Math.round(clock.now() - arrivedAt),
    });
    const headers = this.services.codec.encodeResponseHeaders(rawHeaders);
    headers.push('content-length', String(body.length));
    response.writeHead(status, headers);
    response.end(body);
  }
}
