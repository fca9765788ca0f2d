import { Execution, OutcomeUnknown, Timeout } from '@laburnumstream/common';
import { ResponseAction, AttemptOutcome, classifyResponse } from '@laburnumstream/decisions';
import type { Attempt } from './attempt.js';
import { Attempts } from './attempts.js';
import type { AttemptServices } from './attempts.js';
import { AnswerCollector } from './answerCollector.js';
import type { CallOutcome, WholeAnswer } from './answerCollector.js';
import { CallFault } from './endpointCall.js';
import { deadlinePassed } from './exchange.js';
import type { Exchange } from './exchange.js';

/** Least time for an answer before the request goes on elsewhere, in milliseconds. */
const leastPatienceMs = 250;
/** Factor on the expected time of an answer before the request goes on elsewhere. */
const patienceFactor = 5;

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
      const patience = this.startPatience(attempts, attempt, collector, placement.expectedMs);
      const outcome = await this.until(attempt, collector, exchange);
      clearTimeout(patience);
      attempt.ended();
      const isDone =
        outcome.kind === 'answer'
          ? this.takeAnswer(exchange, attempts, attempt, outcome.answer)
          : this.takeFault(attempts, attempt, outcome.fault, outcome.reason);
      if (isDone) return;
    }
  }

  /** Gives an attempt up that takes much longer than expected, if the request can go on elsewhere. */
  private startPatience(
    attempts: Attempts,
    attempt: Attempt,
    collector: AnswerCollector,
    expectedMs: number,
  ): NodeJS.Timeout | undefined {
    if (!this.isIdempotent) return undefined;
    const ms = Math.max(leastPatienceMs, expectedMs * patienceFactor);
    return setTimeout(() => {
      if (!attempts.couldRepeat(attempt.handle)) return;
      attempt.call.abort();
      collector.failed(CallFault.silent, `no answer for ${Math.round(ms)} ms`);
    }, ms);
  }

  /** The outcome of an attempt; throws `Timeout` when the request's time is over before. */
  private until(attempt: Attempt, collector: AnswerCollector, { signal }: Exchange) {
    return new Promise<CallOutcome>((resolve, reject) => {
      const stop = (): void => {
        const { wasSent } = attempt.call;
        if (signal.reason === deadlinePassed) this.count(attempt, AttemptOutcome.failed);
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
    attempt: Attempt,
    answer: WholeAnswer,
  ): boolean {
    const { handle } = attempt;
    const { status, head } = answer;
    const { load } = head;
    if (load) {
      const { clock } = this.services;
      handle.load.applyReport({ ...load, slowdown: 1 }, handle.load.ownRequests + 1, Infinity, clock.now());
    }
    const { action: use, execution, outcome: sign } = classifyResponse({ status, ...head });
    this.count(attempt, sign);
    if (use === ResponseAction.deliver) {
      this.deliver(exchange, attempt, answer);
      return true;
    }
    const reason = `status ${status}`;
    if (attempts.mayRepeat({ attempt, execution, fault: undefined, reason })) return false;
    if (use === ResponseAction.deliverIfLast) {
      this.deliver(exchange, attempt, answer);
      return true;
    }
    if (execution === Execution.notRun) throw attempts.refusal();
    throw new OutcomeUnknown('The endpoint sent no answer that counts.');
  }

  private takeFault(
    attempts: Attempts,
    attempt: Attempt,
    fault: CallFault,
    reason: string,
  ): boolean {
    this.count(attempt, AttemptOutcome.failed);
    const execution = fault === CallFault.connection ? Execution.notRun : Execution.unknown;
    if (attempts.mayRepeat({ attempt, execution, fault, reason })) return false;
    if (execution === Execution.notRun) throw attempts.refusal();
    throw new OutcomeUnknown('The connection to the endpoint broke.');
  }

  private count({ handle }: Attempt, sign: AttemptOutcome): void {
    handle.health.recordAttempt(sign, this.services.clock.now());
  }

  private deliver(
    { response, head, service, arrivedAt }: Exchange,
    { handle, call }: Attempt,
    { status, rawHeaders, body }: WholeAnswer,
  ): void {
    const { clock, log } = this.services;
    log.info('Request answered.', {
      id: head.id,
      service,
      endpoint: handle.id,
      status,
      ...call.evidence,
      ms: Math.round(clock.now() - arrivedAt),
    });
    const headers = this.services.codec.encodeAnswerHeaders(rawHeaders);
    headers.push('content-length', String(body.length));
    response.writeHead(status, headers);
    response.end(body);
  }
}
