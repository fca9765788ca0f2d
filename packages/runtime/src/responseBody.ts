import { Aborted, ByteCollector, ResponseTooLarge, collectBytes } from '@laburnumstream/common';
import type { ReadControl } from './pacedReading.js';
import { PacedReading } from './pacedReading.js';

/** Bytes that wait for the reader before the connection is read no further. */
const maxWaitingBytes = 65_536;

/** How the reading of a response is controlled. */
export interface BodyControl extends ReadControl {
  abort(reason: Error): void;
}

/**
 * The body of a response as it arrives. It costs its bytes whatever the number of its chunks, also while nobody reads:
 * what waits is copied into blocks, and each step of the reader takes all of it. Ending the loop early closes the
 * connection.
 */
export class ResponseBody implements AsyncIterable<Buffer> {
  private readonly waiting = new ByteCollector();

  private readonly pace = new PacedReading();

  private isComplete = false;

  private error: Error | undefined;

  /** Continues a reader that waits; undefined while none does. */
  private wake: (() => void) | undefined;

  constructor(private readonly control: BodyControl) {
    this.pace.attach(control);
  }

  /** Adds a chunk that has arrived. */
  push(chunk: Buffer): void {
    // The parser emits an empty chunk when the reading is resumed.
    if (chunk.length === 0) return;
    this.waiting.push(chunk);
    this.pace.recordPiece();
    if (this.waiting.length >= maxWaitingBytes) this.pace.pause();
    this.wakeReader();
  }

  /** Records that the body has arrived whole. */
  complete(): void {
    this.isComplete = true;
    this.wakeReader();
  }

  /** Records that the rest of the body does not arrive. */
  fail(error: Error): void {
    this.error = error;
    this.wakeReader();
  }

  /** Closes the connection, unless the body has arrived whole, and drops what waits. */
  cancel(): void {
    this.waiting.clear();
    if (!this.isComplete && !this.error) this.control.abort(new Aborted());
  }

  async *[Symbol.asyncIterator](): AsyncGenerator<Buffer> {
    try {
      for (;;) {
        if (this.waiting.length > 0) {
          yield this.waiting.take();
          this.pace.resume();
        } else if (this.error) throw this.error;
        else if (this.isComplete) return;
        else await this.waitForChange();
      }
    } finally {
      this.cancel();
    }
  }

  /** Hot path: called for each chunk, so that a promise is resolved only for a reader that waits. */
  private wakeReader(): void {
    const { wake } = this;
    if (!wake) return;
    this.wake = undefined;
    wake();
  }

  private waitForChange(): Promise<void> {
    return new Promise((resolve) => {
      this.wake = resolve;
    });
  }
}

/** Reads a body as a whole. Throws `ResponseTooLarge`, which closes the connection. */
export function readResponseBody(body: ResponseBody, maxBytes: number): Promise<Buffer> {
  const reason = `its body has more than ${maxBytes} bytes`;
  return collectBytes(body, maxBytes, () => new ResponseTooLarge(reason));
}
