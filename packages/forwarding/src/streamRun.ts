import { Execution, LinkedAbort, OutcomeUnknown, Timeout } from '@laburnumstream/common';
import { AnswerUse, AttemptSign, judgeAnswer } from '@laburnumstream/decisions';
import type { Placement } from '@laburnumstream/decisions';
import type { Attempt } from './attempt.js';
import { Attempts } from './attempts.js';
import type { AttemptServices } from './attempts.js';
import { CallFault } from './endpointCall.js';
import type { EndpointHandle } from './endpointHandle.js';
import { EventDelivery } from './eventDelivery.js';
import { EventRelay } from './eventRelay.js';
import type { StreamOutcome } from './eventRelay.js';
import { deadlinePassed } from './exchange.js';
import type { Exchange } from './exchange.js';

/** An attempt at a stream, and its outcome. */
interface RunningAttempt {
  readonly attempt: Attempt;
  readonly relay: EventRelay;
  /** Rejects with `Timeout` when the request's time is over before. */
  readonly outcome: Promise<StreamOutcome>;
}

/** What came first: the end of an attempt, or an endpoint to which the stream can move. */
type Turn =
  | { readonly outcome: StreamOutcome }
  | { readonly placement: Placement<EndpointHandle> | undefined };

/** One stream, over all its attempts. */
export class StreamRun {
  private readonly attempts: Attempts;

  private readonly delivery: EventDelivery;

  constructor(
    private readonly exchange: Exchange,
    private readonly services: AttemptServices,
  ) {
    this.attempts = new Attempts(exchange, services, exchange.route.isResumable);
    this.delivery = new EventDelivery(exchange, services.codec, services.clock);
  }

  /** Whether the caller has received anything. */
  get hasBegun(): boolean {
    return this.delivery.hasBegun;
  }

  /** The last event that the caller has received. */
  get lastEventId(): number | undefined {
    return this.delivery.lastEventId;
  }

  /** Streams until the end; throws a typed failure when that can't be reached. */
  async run(): Promise<void> {
    for (;;) {
      const placement = await this.attempts.place(this.exchange.signal);
      if (await this.attemptAt(placement)) return;
    }
  }

  /** Returns whether the stream has ended; false when it is to be tried once more. */
  private async attemptAt(placement: Placement<EndpointHandle>): Promise<boolean> {
    let running = this.start(placement);
    for (;;) {
      const turn = await this.untilMove(running);
      if ('outcome' in turn) return this.takeOutcome(running.attempt, turn.outcome);
      if (turn.placement) running = this.moveTo(running, turn.placement);
      else return this.takeOutcome(running.attempt, await running.outcome);
    }
  }

  private start(placement: Placement<EndpointHandle>): RunningAttempt {
    const { exchange, delivery, attempts } = this;
    const couldGoOn = (): boolean => attempts.couldRepeat(placement.target);
    const relay = new EventRelay(exchange, delivery, this.services.clock, couldGoOn);
    const attempt = attempts.send(placement, relay, delivery.lastEventId);
    relay.follow(attempt);
    return { attempt, relay, outcome: this.until(attempt, relay) };
  }

  /** The end of an attempt, or what came of the wish to move it elsewhere. */
  private async untilMove({ attempt, relay, outcome }: RunningAttempt): Promise<Turn> {
    const ended = outcome.then((value): Turn => ({ outcome: value }));
    const asked = relay.moveAsked.then((): Turn => ({ placement: undefined }));
    const first = await Promise.race([ended, asked]);
    if ('outcome' in first || !this.attempts.mayMove(attempt.handle)) return first;
    const placing = new LinkedAbort(this.exchange.signal);
    const placed = this.attempts.place(placing.signal).then(
      (placement): Turn => ({ placement }),
      (): Turn => ({ placement: undefined }),
    );
    const second = await Promise.race([ended, placed]);
    placing.end();
    return second;
  }

  /** The stream goes on at another endpoint, which has room, after its last event here. */
  private moveTo(
    { attempt, relay }: RunningAttempt,
    placement: Placement<EndpointHandle>,
  ): RunningAttempt {
    const { id } = this.exchange.head;
    const { metrics, log } = this.services;
    relay.abort();
    this.attempts.moved();
    metrics.count('streams_moved');
    log.debug('Stream moved.', {
      id,
      from: attempt.handle.id,
      to: placement.target.id,
      lastEventId: this.delivery.lastEventId ?? null,
    });
    return this.start(placement);
  }

  private takeOutcome(attempt: Attempt, outcome: StreamOutcome): boolean {
    attempt.ended();
    if (outcome.kind === 'whole') {
      this.count(attempt.handle, AttemptSign.answered);
      this.logEnd(attempt);
      return true;
    }
    if (outcome.kind === 'answer') return this.takeAnswer(attempt, outcome);
    this.count(attempt.handle, AttemptSign.failed);
    const execution = outcome.fault === CallFault.connection ? Execution.notRun : Execution.unknown;
    const { fault, reason } = outcome;
    if (this.attempts.mayRepeat({ attempt, execution, fault, reason })) return false;
    if (execution === Execution.notRun) throw this.attempts.refusal();
    throw new OutcomeUnknown('The connection to the endpoint broke.');
  }

  private count(handle: EndpointHandle, sign: AttemptSign): void {
    handle.health.count(sign, this.services.clock.now());
  }

  private logEnd({ handle, call }: Attempt): void {
    const { head, route, service } = this.exchange;
    const { firstEventMs = 0, longestPauseMs, lastEventId } = this.delivery;
    const { metrics, log } = this.services;
    metrics.observe('stream_first_event', firstEventMs);
    metrics.observe('stream_longest_pause', longestPauseMs);
    log.info('Stream ended.', {
      id: head.id,
      service,
      endpoint: handle.id,
      ...call.evidence,
      sends: this.attempts.sends,
      firstEventMs: Math.round(firstEventMs),
      longestPauseMs: Math.round(longestPauseMs),
      goalMs: route.latencyTargetMs,
      lastEventId: lastEventId ?? null,
    });
  }

  private until({ handle }: Attempt, relay: EventRelay): Promise<StreamOutcome> {
    const { signal } = this.exchange;
    return new Promise((resolve, reject) => {
      const stop = (): void => {
        const { wasSent, hasEvents } = relay;
        if (signal.reason === deadlinePassed && !hasEvents) this.count(handle, AttemptSign.failed);
        relay.abort();
        const execution = wasSent ? Execution.unknown : Execution.notRun;
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

  /** Takes an answer that is no stream. */
  private takeAnswer(
    attempt: Attempt,
    { status, head, rawHeaders, body }: Extract<StreamOutcome, { kind: 'answer' }>,
  ): boolean {
    const { use, execution, sign } = judgeAnswer({ status, ...head });
    this.count(attempt.handle, sign);
    const isAnswer = use === AnswerUse.deliver && !this.hasBegun;
    const failed = { attempt, execution, fault: undefined, reason: `status ${status}` };
    if (!isAnswer && this.attempts.mayRepeat(failed)) return false;
    if (!this.hasBegun && use !== AnswerUse.discard) {
      const headers = this.services.codec.encodeAnswerHeaders(rawHeaders);
      headers.push('content-length', String(body.length));
      this.exchange.response.writeHead(status, headers);
      this.exchange.response.end(body);
      return true;
    }
    if (execution === Execution.notRun) throw this.attempts.refusal();
    throw new OutcomeUnknown('The endpoint sent no stream.');
  }
}
