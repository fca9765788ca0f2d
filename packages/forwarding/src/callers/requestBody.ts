import type { IncomingMessage } from 'node:http';
import { Execution, Timeout, TooLarge } from '@laburnumstream/common';

/**
 * Reads the body of a request. Rejects if it is larger than `maxBytes` or the signal is aborted first;
 * the rest is then discarded as it arrives, so that the caller can be answered.
 */
export function readBody(
  request: IncomingMessage,
  maxBytes: number,
  signal: AbortSignal,
): Promise<Buffer> {
  const parts: Buffer[] = [];
  let size = 0;
  return new Promise((resolve, reject) => {
    request.on('data', (part: Buffer) => {
      size += part.length;
      if (size <= maxBytes) parts.push(part);
      else reject(new TooLarge(`The body is larger than ${maxBytes} bytes.`));
    });
    request.once('end', () => resolve(parts.length === 1 ? parts[0]! : Buffer.concat(parts)));
    request.once('error', reject);
    signal.addEventListener(
      'abort',
      () => reject(new Timeout('The body did not arrive in time.', Execution.notRun)),
      { once: true },
    );
  });
}
