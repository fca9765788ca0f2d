import { ByteCollector } from '@laburnumstream/common';
import { ResponseMemory } from '@laburnumstream/decisions';
import type { CallFault, CallObserver } from '../endpoints/endpointCall.js';
import type { ResponseHead } from '../callers/heads.js';
import { responseMemoryBytes } from '../endpoints/responseBounds.js';
import { ResponseHold } from './responseHold.js';

/** An endpoint's response with its complete body. */
export interface BufferedResponse {
  readonly status: number;
  readonly head: ResponseHead;
  readonly rawHeaders: readonly string[];
  readonly body: Buffer;
}

/** Outcome of a call: a response or a fault. */
export type CallOutcome =
  | { readonly kind: 'response'; readonly response: BufferedResponse }
  | { readonly kind: 'fault'; readonly fault: CallFault; readonly reason: string };

/** Buffers the response of one call. */
export class ResponseCollector implements CallObserver {
  readonly outcome: Promise<CallOutcome>;

  private settle: (outcome: CallOutcome) => void = () => undefined;

  private readonly body = new ByteCollector();

  private readonly hold: ResponseHold;

  private start: Omit<BufferedResponse, 'body'> | undefined;

  constructor(memory = new ResponseMemory(responseMemoryBytes)) {
    this.hold = new ResponseHold(memory);
    this.outcome = new Promise((resolve) => {
      this.settle = resolve;
    });
  }

  onHead(status: number, head: ResponseHead, rawHeaders: readonly string[]): void {
    this.start = { status, head, rawHeaders };
  }

  onData(bytes: Buffer): void {
    this.hold.resize(this.body.length + bytes.length);
    this.body.push(bytes);
  }

  onEnd(): void {
    const response = { ...this.start!, body: this.body.take() };
    this.settle({ kind: 'response', response });
  }

  onFailure(fault: CallFault, reason: string): void {
    this.settle({ kind: 'fault', fault, reason });
  }

  /** Gives up the memory of the response. */
  release(): void {
    this.hold.release();
    this.body.clear();
  }
}
