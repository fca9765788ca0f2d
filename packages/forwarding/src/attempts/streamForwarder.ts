import { VersionUnsupported } from '@laburnumstream/common';
import type { AttemptServices } from './attemptServices.js';
import { callerDisconnected } from '../callers/exchange.js';
import type { Exchange } from '../callers/exchange.js';
import { StreamSession } from './streamSession.js';

function supportsChunked({ request }: Exchange): boolean {
  return request.httpVersionMajor > 1 || request.httpVersionMinor >= 1;
}

/** Forwards event streams; resumable ones are resumed at another endpoint after a fault. */
export class StreamForwarder {
  constructor(private readonly services: AttemptServices) {}

  /** Resolves when the stream has ended; rejects if nothing was delivered or the caller disconnected. */
  async forward(exchange: Exchange): Promise<void> {
    // Without chunked encoding the caller could not tell a truncated stream from a complete one.
    if (!supportsChunked(exchange)) throw new VersionUnsupported();
    const session = new StreamSession(exchange, this.services);
    try {
      await session.run();
    } catch (error) {
      if (!session.hasStarted || exchange.signal.reason === callerDisconnected) throw error;
      // A truncated stream must not look complete.
      session.recordCut(error);
      exchange.response.destroy();
    }
  }
}
