import { Execution, OutcomeUnknown, Timeout } from '@laburnumstream/common';
import { AnswerUse, judgeAnswer } from '@laburnumstream/decisions';
import { Attempts } from './attempts.js';
import type { Attempt, AttemptServices } from './attempts.js';
import { CallFault } from './endpointCall.js';
import { EventDelivery } from './eventDelivery.js';
import { EventRelay } from './eventRelay.js';
import type { StreamOutcome } from './eventRelay.js';
import type { Exchange } from './exchange.js';

/** Forwards streams of events, and lets those that may be resumed go on at another endpoint. */
export class EventStreams {
  constructor(private readonly services: AttemptServices) {}

  /** Streams until the end; throws a typed failure while the caller has received nothing. */
  async serve(exchange: Exchange): Promise<void> {
    const { isResumable } = exchange.route;
    const attempts = new Attempts(exchange, this.services, isResumable);
    const delivery = new EventDelivery(exchange, this.services.codec);
    try {
      while (!(await this.attempt(exchange, attempts, delivery)));
    } catch (error) {
      if (!delivery.hasBegun) throw error;
      // A stream that is cut must not look whole.
      this.services.metrics.count('streams_cut');
      this.services.log.warn('Stream cut.', {
        id: exchange.head.id,
        lastEventId: delivery.lastEventId ?? null,
        reason: String(error),
      });
      exchange.response.destroy();
    }
  }

  /** Returns whether the stream has ended; false when it is to be tried once more. */
  private async attempt(
    exchange: Exchange,
    attempts: Attempts,
    delivery: EventDelivery,
  ): Promise<boolean> {
    const relay = new EventRelay(exchange, delivery);
    const attempt = await attempts.send(relay, delivery.lastEventId);
    relay.follow(attempt);
    const outcome = await EventStreams.until(relay, exchange);
    attempt.ended();
    if (outcome.kind === 'whole') return true;
    if (outcome.kind === 'answer')
      return this.takeAnswer(exchange, attempts, attempt, outcome, delivery);
    const execution = outcome.fault === CallFault.connection ? Execution.notRun : Execution.unknown;
    const reason = `${outcome.fault}: ${outcome.reason}`;
    if (attempts.mayRepeat(attempt.handle, execution, reason)) return false;
    if (execution === Execution.notRun) throw attempts.refusal();
    throw new OutcomeUnknown('The connection to the endpoint broke.');
  }

  private static until(relay: EventRelay, { signal }: Exchange): Promise<StreamOutcome> {
    return new Promise((resolve, reject) => {
      const stop = (): void => {
        const { wasSent } = relay;
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
    exchange: Exchange,
    attempts: Attempts,
    { handle }: Attempt,
    outcome: Extract<StreamOutcome, { kind: 'answer' }>,
    delivery: EventDelivery,
  ): boolean {
    const { status, head, rawHeaders, body } = outcome;
    const { use, execution } = judgeAnswer({ status, ...head });
    const isAnswer = use === AnswerUse.deliver && !delivery.hasBegun;
    if (!isAnswer && attempts.mayRepeat(handle, execution, `status ${status}`)) return false;
    if (!delivery.hasBegun && use !== AnswerUse.discard) {
      const headers = this.services.codec.encodeAnswerHeaders(rawHeaders);
      headers.push('content-length', String(body.length));
      exchange.response.writeHead(status, headers);
      exchange.response.end(body);
      return true;
    }
    if (execution === Execution.notRun) throw attempts.refusal();
    throw new OutcomeUnknown('The endpoint sent no stream.');
  }
}
