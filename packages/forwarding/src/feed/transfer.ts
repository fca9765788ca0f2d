import { ByteCollector, TransferFailed } from '@laburnumstream/common';
import { ProgressTimeout, openResponse } from '@laburnumstream/runtime';
import type { ProgressLimits } from '@laburnumstream/runtime';
import type { Dispatcher } from 'undici';

/** Limits of reading one response. */
export interface TransferLimits extends ProgressLimits {
  readonly maxBytes: number;
}

const successStatus = 200;

/** A response that has arrived whole. */
export interface TransferredResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly body: Buffer;
}

/**
 * Sends a request and reads its response for as long as it makes progress. Throws `TransferFailed`, with
 * the number of bytes that had arrived, when the connection fails or a limit is exceeded. `onProgress` is
 * called with each part of a successful response: a refusal brings the content no further.
 */
export async function transfer(
  client: Dispatcher,
  options: Dispatcher.DispatchOptions,
  limits: TransferLimits,
  signal?: AbortSignal,
  onProgress: () => void = () => undefined,
): Promise<TransferredResponse> {
  const startedAt = performance.now();
  const timeout = new ProgressTimeout(limits, signal);
  const collector = new ByteCollector();
  try {
    const { status, headers, body } = await openResponse(client, options, timeout.signal);
    timeout.recordProgress();
    for await (const part of body) {
      timeout.recordProgress();
      if (status === successStatus) onProgress();
      collector.push(part);
      if (collector.length > limits.maxBytes)
        throw new TransferFailed(`The response is larger than ${limits.maxBytes} bytes.`);
    }
    return { status, headers, body: collector.take() };
  } catch (error) {
    const progress = `${collector.length} bytes in ${Math.round(performance.now() - startedAt)} ms`;
    const call = `${options.method} ${options.path}`;
    throw new TransferFailed(`${call} failed after ${progress}: ${String(error)}`, error);
  } finally {
    timeout.end();
  }
}
