import { Execution, LinkedAbort, OutcomeUnknown, Timeout } from '@laburnumstream/common';
import { ResponseAction, AttemptOutcome, classifyResponse } from '@laburnumstream/decisions';
import type { Placement } from '@laburnumstream/decisions';
import type { Attempt } from './attempt.js';
import { RequestAttempts } from './requestAttempts.js';
import type { AttemptServices } from './attemptServices.js';
import { findCutCause } from './cutCause.js';
import { executionOf, isEndpointFault } from '../endpoints/endpointCall.js';
import type { EndpointHandle } from '../endpoints/endpointHandle.js';
import { EventDelivery } from './eventDelivery.js';
import { EventRelay } from './eventRelay.js';
import type { StreamOutcome } from './eventRelay.js';
import { deadlineExceeded } from '../callers/exchange.js';
import type { Exchange } from '../callers/exchange.js';

/** A running attempt at a stream. */
interface RunningAttempt {
  readonly attempt: Attempt;
  readonly relay: EventRelay;
  /** Rejects with `Timeout` if the request is aborted first. */
  readonly outcome: Promise<StreamOutcome>;
}

/** What happened first: the end of an attempt, or the placement of a move to another endpoint. */
type AttemptStep =
  | { readonly outcome: StreamOutcome }
  | { readonly placement: Placement<EndpointHandle> | undefined };

/** Forwards one stream, across all its attempts. */
export class StreamSession {
  private readonly attempts: RequestAttempts;

  private readonly delivery: EventDelivery;

  private moveCount = 0;

  constructor(
    private readonly exchange: Exchange,
    private readonly services: AttemptServices,
  ) {
    this.attempts = new RequestAttempts(exchange, services, exchange.route.isResumable);
    this.delivery = new EventDelivery(exchange, services.codec);
  }

  /** Whether the caller has received anything. */
  get hasStarted(): boolean {
    return this.delivery.hasStarted;
  }

  /** Records that the stream ended with an error although its caller had received events. */
  recordCut(error: unknown): void {
    const { head, service, configurationVersion, deadlineAt } = this.exchange;
    const { metrics, log, clock } = this.services;
    const cause = findCutCause(error, this.attempts.retryDenial);
    metrics.count('streams_cut', { cause });
    log.warn('Stream cut.', {
      id: head.id,
      service,
      lastEventId: this.delivery.lastEventId ?? null,
      cause,
      reason: String(error),
      leftMs: Math.round(deadlineAt - clock.now()),
      sends: this.attempts.sendCount,
      moves: this.moveCount,
      configuration: configurationVersion,
    });
  }

  /** Resolves when the stream has ended; rejects with a typed failure if it can't be completed. */
  async run(): Promise<void> {
    for (;;) {
      const placement = await this.attempts.place(this.exchange.signal);
      if (await this.runAttempt(placement)) return;
    }
  }

  /** Returns true when the stream has ended, and false when it is to be retried. */
  private async runAttempt(placement: Placement<EndpointHandle>): Promise<boolean> {
    let running = this.start(placement);
    for (;;) {
      const step = await this.nextStep(running);
      if ('outcome' in step) return this.handleOutcome(running.attempt, step.outcome);
      if (step.placement) running = this.moveTo(running, step.placement);
      else return this.handleOutcome(running.attempt, await running.outcome);
    }
  }

  private start(placement: Placement<EndpointHandle>): RunningAttempt {
    const { delivery, attempts } = this;
    const couldResume = (): boolean => attempts.couldRetry(placement.target);
    const { clock, memory } = this.services;
    const relay = new EventRelay(delivery, clock, couldResume, memory);
    const attempt = attempts.send(placement, relay, delivery.lastEventId);
    relay.attach(attempt);
    return { attempt, relay, outcome: this.waitForOutcome(attempt, relay) };
  }

  /** Waits for the end of an attempt, or for the placement of a move if one is requested. */
  private async nextStep({ attempt, relay, outcome }: RunningAttempt): Promise<AttemptStep> {
    const ended = outcome.then((value): AttemptStep => ({ outcome: value }));
    const moveRequested = relay.moveRequested.then((): AttemptStep => ({ placement: undefined }));
    const first = await Promise.race([ended, moveRequested]);
    if ('outcome' in first || !this.attempts.mayMove(attempt.handle)) return first;
    const placementAbort = new LinkedAbort(this.exchange.signal);
    const placed = this.attempts.place(placementAbort.signal).then(
      (placement): AttemptStep => ({ placement }),
      (): AttemptStep => ({ placement: undefined }),
    );
    const second = await Promise.race([ended, placed]);
    placementAbort.end();
    if ('placement' in second && !second.placement) this.attempts.cancelMove();
    return second;
  }

  /** Resumes the stream at another endpoint, after its last delivered event. */
  private moveTo(
    { attempt, relay }: RunningAttempt,
    placement: Placement<EndpointHandle>,
  ): RunningAttempt {
    const { id } = this.exchange.head;
    const { metrics, log } = this.services;
    relay.abort();
    this.attempts.recordMove(attempt.handle);
    this.moveCount += 1;
    metrics.count('streams_moved');
    log.info('Stream moved.', {
      id,
      from: attempt.handle.id,
      to: placement.target.id,
      lastEventId: this.delivery.lastEventId ?? null,
    });
    return this.start(placement);
  }

  private handleOutcome(attempt: Attempt, outcome: StreamOutcome): boolean {
    attempt.markEnded();
    if (outcome.kind === 'complete') {
      this.recordHealth(attempt.handle, AttemptOutcome.responded);
      this.attempts.recordCompletion(attempt);
      this.recordCompletion(attempt);
      return true;
    }
    if (outcome.kind === 'response') return this.handleResponse(attempt, outcome);
    const { fault, reason } = outcome;
    if (isEndpointFault(fault)) this.recordHealth(attempt.handle, AttemptOutcome.failed);
    const execution = executionOf(fault);
    if (this.attempts.mayRetry({ attempt, execution, fault, reason })) return false;
    if (execution === Execution.notRun) throw this.attempts.createRefusal();
    throw new OutcomeUnknown('The connection to the endpoint failed.');
  }

  private recordHealth(handle: EndpointHandle, outcome: AttemptOutcome): void {
    handle.health.recordAttempt(outcome, this.services.clock.now());
  }

  private recordCompletion({ handle, call }: Attempt): void {
    const { head, route, service } = this.exchange;
    const { firstEventMs = 0, maxGapMs, lastEventId } = this.delivery;
    const { metrics, log } = this.services;
    metrics.observe('stream_first_event', firstEventMs);
    metrics.observe('stream_longest_pause', maxGapMs);
    log.info('Stream ended.', {
      id: head.id,
      service,
      endpoint: handle.id,
      ...call.stats,
      sends: this.attempts.sendCount,
      firstEventMs: Math.round(firstEventMs),
      longestPauseMs: Math.round(maxGapMs),
      goalMs: route.latencyTargetMs,
      lastEventId: lastEventId ?? null,
    });
  }

  private waitForOutcome(attempt: Attempt, relay: EventRelay): Promise<StreamOutcome> {
    const { handle } = attempt;
    const { signal } = this.exchange;
    return new Promise((resolve, reject) => {
      const stop = (): void => {
        const { hasEvents } = relay;
        const execution = this.attempts.executionAfterAbort(attempt);
        if (signal.reason === deadlineExceeded && !hasEvents)
          this.recordHealth(handle, AttemptOutcome.failed);
        relay.abort();
        reject(new Timeout('The stream did not end in time.', execution));
      };
      if (signal.aborted) stop();
      signal.addEventListener('abort', stop, { once: true });
      void relay.outcome.then((outcome) => {
        signal.removeEventListener('abort', stop);
        resolve(outcome);
      });
    });
  }

  /** Handles a response that is not a stream; returns false when the request is to be retried. */
  private handleResponse(
    attempt: Attempt,
    { status, head, rawHeaders, body }: Extract<StreamOutcome, { kind: 'response' }>,
  ): boolean {
    const { action, execution, outcome } = classifyResponse({ status, ...head });
    this.recordHealth(attempt.handle, outcome);
    const isDeliverable = action === ResponseAction.deliver && !this.hasStarted;
    const failed = { attempt, execution, fault: undefined, reason: `status ${status}` };
    if (!isDeliverable && this.attempts.mayRetry(failed)) return false;
    if (!this.hasStarted && action !== ResponseAction.discard) {
      const headers = this.services.codec.encodeResponseHeaders(rawHeaders);
      headers.push('content-length', String(body.length));
      this.exchange.response.writeHead(status, headers);
      this.exchange.response.end(body);
      return true;
    }
    if (execution === Execution.notRun) throw this.attempts.createRefusal();
    throw new OutcomeUnknown('The endpoint did not send a stream.');
  }
}
