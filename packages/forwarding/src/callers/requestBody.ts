import type { IncomingMessage } from 'node:http';
import { ByteBlocks, Execution, Failure, Timeout, TooLarge } from '@laburnumstream/common';

/** Limits of one request's body. */
export interface BodyLimits {
  readonly maxBytes: number;
  /** Chunks, in addition to one for each `bytesPerPart` bytes. */
  readonly maxParts: number;
  readonly bytesPerPart: number;
}

/** The body has so many chunks that reading it costs far more processor time than its size justifies. */
export class TooManyParts extends TooLarge {
  constructor(parts: number) {
    super(`The body has more than ${parts} chunks for its size.`);
  }
}

/** Returns the failure of a body whose request was aborted. */
function toAbortFailure({ reason }: AbortSignal): Failure {
  if (reason instanceof Failure) return reason;
  return new Timeout('The body did not arrive in time.', Execution.notRun);
}

/**
 * Reads the body of a request. Rejects if it exceeds a limit or the signal is aborted first; the rest is then
 * discarded as it arrives, so that the caller can be answered. `onHeld` is told the bytes that are held.
 */
export function readBody(
  request: IncomingMessage,
  { maxBytes, maxParts, bytesPerPart }: BodyLimits,
  signal: AbortSignal,
  onHeld: (bytes: number) => void = () => undefined,
): Promise<Buffer> {
  const body = new ByteBlocks();
  let parts = 0;
  let hasEnded = false;
  return new Promise((resolve, reject) => {
    const fail = (error: unknown): void => {
      if (hasEnded) return;
      hasEnded = true;
      body.clear();
      onHeld(0);
      reject(error);
    };
    const abort = (): void => fail(toAbortFailure(signal));
    request.on('data', (bytes: Buffer) => {
      if (hasEnded) return;
      parts += 1;
      const size = body.length + bytes.length;
      if (size > maxBytes) fail(new TooLarge(`The body is larger than ${maxBytes} bytes.`));
      else if (parts > maxParts + size / bytesPerPart) fail(new TooManyParts(parts - 1));
      else {
        body.push(bytes);
        onHeld(body.heldBytes);
      }
    });
    request.once('end', () => {
      if (hasEnded) return;
      hasEnded = true;
      const whole = body.take();
      onHeld(whole.buffer.byteLength);
      signal.removeEventListener('abort', abort);
      resolve(whole);
    });
    request.once('error', fail);
    signal.addEventListener('abort', abort, { once: true });
  });
}
