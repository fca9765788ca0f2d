import { Execution, OutcomeUnknown, Timeout } from '@laburnumstream/common';
import { AnswerUse, judgeAnswer } from '@laburnumstream/decisions';
import { Attempts } from './attempts.js';
import type { Attempt, AttemptServices } from './attempts.js';
import { AnswerCollector } from './answerCollector.js';
import type { CallOutcome, WholeAnswer } from './answerCollector.js';
import { CallFault } from './endpointCall.js';
import type { Exchange } from './exchange.js';

/** Forwards requests whose answers are passed on once they are whole. */
export class WholeAnswers {
  constructor(
    private readonly services: AttemptServices,
    private readonly isIdempotent: boolean,
  ) {}

  /** Sends the request until there is an answer to deliver; throws a typed failure. */
  async serve(exchange: Exchange): Promise<void> {
    const attempts = new Attempts(exchange, this.services, this.isIdempotent);
    for (;;) {
      const collector = new AnswerCollector();
      const placement = await attempts.place(exchange.signal);
      const attempt = attempts.send(placement, collector, exchange.head.lastEventId);
      const outcome = await WholeAnswers.until(attempt, collector, exchange);
      attempt.ended();
      const isDone =
        outcome.kind === 'answer'
          ? this.takeAnswer(exchange, attempts, attempt, outcome.answer)
          : WholeAnswers.takeFault(attempts, attempt, outcome.fault, outcome.reason);
      if (isDone) return;
    }
  }

  /** The outcome of an attempt; throws `Timeout` when the request's time is over before. */
  private static until(attempt: Attempt, collector: AnswerCollector, { signal }: Exchange) {
    return new Promise<CallOutcome>((resolve, reject) => {
      const stop = (): void => {
        const { wasSent } = attempt.call;
        attempt.call.abort();
        attempt.ended();
        const execution = wasSent ? Execution.unknown : Execution.notRun;
        reject(new Timeout('The endpoint did not answer in time.', execution));
      };
      if (signal.aborted) stop();
      signal.addEventListener('abort', stop, { once: true });
      void collector.outcome.then((outcome) => {
        signal.removeEventListener('abort', stop);
        resolve(outcome);
      });
    });
  }

  /** Delivers an answer, or returns false when the request is sent once more. */
  private takeAnswer(
    exchange: Exchange,
    attempts: Attempts,
    { handle }: Attempt,
    answer: WholeAnswer,
  ): boolean {
    const { status, head } = answer;
    const { load } = head;
    if (load) {
      const { clock } = this.services;
      handle.load.report({ ...load, pace: 1 }, handle.load.own + 1, Infinity, clock.now());
    }
    const { use, execution } = judgeAnswer({ status, ...head });
    if (use === AnswerUse.deliver) {
      this.deliver(exchange, answer);
      return true;
    }
    if (attempts.mayRepeat(handle, execution, `status ${status}`)) return false;
    if (use === AnswerUse.deliverIfLast) {
      this.deliver(exchange, answer);
      return true;
    }
    if (execution === Execution.notRun) throw attempts.refusal();
    throw new OutcomeUnknown('The endpoint sent no answer that counts.');
  }

  private static takeFault(
    attempts: Attempts,
    { handle }: Attempt,
    fault: CallFault,
    reason: string,
  ): boolean {
    const execution = fault === CallFault.connection ? Execution.notRun : Execution.unknown;
    if (attempts.mayRepeat(handle, execution, `${fault}: ${reason}`)) return false;
    if (execution === Execution.notRun) throw attempts.refusal();
    throw new OutcomeUnknown('The connection to the endpoint broke.');
  }

  private deliver({ response }: Exchange, { status, rawHeaders, body }: WholeAnswer): void {
    const headers = this.services.codec.encodeAnswerHeaders(rawHeaders);
    headers.push('content-length', String(body.length));
    response.writeHead(status, headers);
    response.end(body);
  }
}
