import type { CallFault, CallObserver } from './endpointCall.js';
import type { AnswerHead } from './heads.js';

/** An endpoint's answer with its whole body. */
export interface WholeAnswer {
  readonly status: number;
  readonly head: AnswerHead;
  readonly rawHeaders: readonly string[];
  readonly body: Buffer;
}

/** How an attempt ended: with an answer, or with a fault. */
export type CallOutcome =
  | { readonly kind: 'answer'; readonly answer: WholeAnswer }
  | { readonly kind: 'fault'; readonly fault: CallFault; readonly reason: string };

/** Collects the answer of one call. */
export class AnswerCollector implements CallObserver {
  readonly outcome: Promise<CallOutcome>;

  private settle: (outcome: CallOutcome) => void = () => undefined;

  private readonly parts: Buffer[] = [];

  private begin: Omit<WholeAnswer, 'body'> | undefined;

  constructor() {
    this.outcome = new Promise((resolve) => {
      this.settle = resolve;
    });
  }

  began(status: number, head: AnswerHead, rawHeaders: readonly string[]): void {
    this.begin = { status, head, rawHeaders };
  }

  data(bytes: Buffer): void {
    this.parts.push(bytes);
  }

  ended(): void {
    const answer = { ...this.begin!, body: Buffer.concat(this.parts) };
    this.settle({ kind: 'answer', answer });
  }

  failed(fault: CallFault, reason: string): void {
    this.settle({ kind: 'fault', fault, reason });
  }
}
