import { LinkedAbort, OutcomeUnknown, toFailure } from '@laburnumstream/common';
import type { Clock, Failure, PlainResponse } from '@laburnumstream/common';
import { answerDigest, callDigest } from '@laburnumstream/decisions';
import { toRefusal } from '@laburnumstream/links';
import type { MessageInitShape } from '@laburnumstream/links';
import type { RunFrameSchema } from '@laburnumstream/protocol';
import { sha256 } from '@laburnumstream/runtime';

/** The content of one frame. */
export type Content = NonNullable<MessageInitShape<typeof RunFrameSchema>['content']>;

/**
 * The answer of one run, held so that entries can read it from any offset, also after a connection
 * was lost. Hot path: a token costs one array slot; a frame carries all tokens that are ready.
 */
export class RunStream {
  /** Digest of the weights that answer. */
  weights = '';

  private readonly texts: string[] = [];

  private answer: PlainResponse | undefined;

  private failed: Failure | undefined;

  private done = false;

  private readonly wakers = new Set<() => void>();

  /** `firstIndex` is above 0 when the run continues an answer that another endpoint began. */
  constructor(
    private readonly firstIndex: number,
    private readonly clock: Clock,
    private readonly progressMs: number,
  ) {}

  get isDone(): boolean {
    return this.done;
  }

  get failure(): Failure | undefined {
    return this.failed;
  }

  get plainAnswer(): PlainResponse | undefined {
    return this.answer;
  }

  get tokens(): readonly string[] {
    return this.texts;
  }

  push(text: string): void {
    this.texts.push(text);
    this.wake();
  }

  /** Ends the run; a plain service's answer comes with its end. */
  finish(answer?: PlainResponse): void {
    this.answer = answer;
    this.done = true;
    this.wake();
  }

  fail(error: unknown): void {
    this.failed = toFailure(error);
    this.done = true;
    this.wake();
  }

  /** The contents from token `from` on: tokens, progress while there are none, and the end. */
  async *read(from: number, signal: AbortSignal): AsyncGenerator<Content> {
    let next = from;
    const reader = new LinkedAbort(signal);
    const beat = this.beat(reader.signal);
    try {
      if (from < this.firstIndex) throw new OutcomeUnknown('The first tokens came elsewhere.');
      while (!signal.aborted) {
        const fresh = this.texts.slice(next - this.firstIndex);
        if (fresh.length > 0) yield { case: 'tokens', value: { firstIndex: next, texts: fresh } };
        next += fresh.length;
        if (this.done && next >= this.count) {
          yield* this.ending();
          return;
        }
        if (beat.due) yield { case: 'progress', value: {} };
        beat.due = false;
        if (!this.done && next >= this.count) await this.change(signal);
      }
    } finally {
      reader.end();
    }
  }

  private get count(): number {
    return this.firstIndex + this.texts.length;
  }

  private *ending(): Generator<Content> {
    if (this.failed) {
      yield { case: 'refusal', value: toRefusal(this.failed) };
      return;
    }
    const { answer, texts, count, firstIndex } = this;
    if (answer) {
      const digest = callDigest(answer.status, answer.body, sha256);
      yield { case: 'answer', value: answer };
      yield { case: 'end', value: { count: 1, digest } };
    } else {
      yield { case: 'end', value: { count, digest: answerDigest(texts, sha256), firstIndex } };
    }
  }

  /** Wakes the reader at intervals, so that a silent connection can be told from a slow run. */
  private beat(signal: AbortSignal): { due: boolean } {
    const beat = { due: false };
    const run = async (): Promise<void> => {
      while (!signal.aborted) {
        await this.clock.sleep(this.progressMs, signal);
        beat.due = true;
        this.wake();
      }
    };
    run().catch(() => this.wake());
    return beat;
  }

  private change(signal: AbortSignal): Promise<void> {
    if (signal.aborted) return Promise.resolve();
    return new Promise((resolve) => {
      const wake = (): void => {
        this.wakers.delete(wake);
        resolve();
      };
      this.wakers.add(wake);
    });
  }

  private wake(): void {
    this.wakers.forEach((wake) => wake());
  }
}
