import { LinkedAbort, OutcomeUnknown, toFailure } from '@laburnumstream/common';
import type { Clock, Failure, PlainResponse } from '@laburnumstream/common';
import { tokensDigest, callResponseDigest } from '@laburnumstream/decisions';
import { toRefusal } from '@laburnumstream/links';
import type { MessageInitShape } from '@laburnumstream/links';
import type { RunFrameSchema } from '@laburnumstream/protocol';
import { sha256 } from '@laburnumstream/runtime';

/** The content of one frame. */
export type FrameContent = NonNullable<MessageInitShape<typeof RunFrameSchema>['content']>;

/**
 * Buffers the response of one run, so that entries can read it from any offset and resume after a
 * lost connection. Hot path: a token costs one array element; a frame carries all ready tokens.
 */
export class RunStream {
  /** Digest of the weights that generate the response. */
  weights = '';

  private readonly texts: string[] = [];

  private response: PlainResponse | undefined;

  private storedFailure: Failure | undefined;

  private done = false;

  private readonly wakers = new Set<() => void>();

  /** `firstIndex` is above 0 when the run continues a response that another endpoint began. */
  constructor(
    private readonly firstIndex: number,
    private readonly clock: Clock,
    private readonly progressIntervalMs: number,
  ) {}

  get isDone(): boolean {
    return this.done;
  }

  get failure(): Failure | undefined {
    return this.storedFailure;
  }

  get plainResponse(): PlainResponse | undefined {
    return this.response;
  }

  get tokens(): readonly string[] {
    return this.texts;
  }

  push(text: string): void {
    this.texts.push(text);
    this.wakeReaders();
  }

  /** Ends the run; `response` is the response of a plain service. */
  finish(response?: PlainResponse): void {
    this.response = response;
    this.done = true;
    this.wakeReaders();
  }

  fail(error: unknown): void {
    this.storedFailure = toFailure(error);
    this.done = true;
    this.wakeReaders();
  }

  /**
   * Yields frame contents from token `from` on: tokens, progress while there are none, and the end.
   */
  async *read(from: number, signal: AbortSignal): AsyncGenerator<FrameContent> {
    let next = from;
    const reader = new LinkedAbort(signal);
    const progress = this.startProgressTimer(reader.signal);
    try {
      if (from < this.firstIndex) throw new OutcomeUnknown('The first tokens came elsewhere.');
      while (!signal.aborted) {
        const newTexts = this.texts.slice(next - this.firstIndex);
        if (newTexts.length > 0)
          yield { case: 'tokens', value: { firstIndex: next, texts: newTexts } };
        next += newTexts.length;
        if (this.done && next >= this.endIndex) {
          yield* this.finalContents();
          return;
        }
        if (progress.due) yield { case: 'progress', value: {} };
        progress.due = false;
        if (!this.done && next >= this.endIndex) await this.waitForChange(signal);
      }
    } finally {
      reader.end();
    }
  }

  private get endIndex(): number {
    return this.firstIndex + this.texts.length;
  }

  private *finalContents(): Generator<FrameContent> {
    if (this.storedFailure) {
      yield { case: 'refusal', value: toRefusal(this.storedFailure) };
      return;
    }
    const { response, texts, endIndex, firstIndex } = this;
    if (response) {
      const digest = callResponseDigest(response.status, response.body, sha256);
      yield { case: 'answer', value: response };
      yield { case: 'end', value: { count: 1, digest } };
    } else {
      yield {
        case: 'end',
        value: { count: endIndex, digest: tokensDigest(texts, sha256), firstIndex },
      };
    }
  }

  /** Wakes the reader periodically, so that an entry can tell a slow run from a dead connection. */
  private startProgressTimer(signal: AbortSignal): { due: boolean } {
    const progress = { due: false };
    const run = async (): Promise<void> => {
      while (!signal.aborted) {
        await this.clock.sleep(this.progressIntervalMs, signal);
        progress.due = true;
        this.wakeReaders();
      }
    };
    run().catch(() => this.wakeReaders());
    return progress;
  }

  private waitForChange(signal: AbortSignal): Promise<void> {
    if (signal.aborted) return Promise.resolve();
    return new Promise((resolve) => {
      const wake = (): void => {
        this.wakers.delete(wake);
        resolve();
      };
      this.wakers.add(wake);
    });
  }

  private wakeReaders(): void {
    this.wakers.forEach((wake) => wake());
  }
}
