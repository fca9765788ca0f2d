import { VersionUnsupported } from '@laburnumstream/common';
import type { AttemptServices } from './attempts.js';
import { callerDisconnected } from './exchange.js';
import type { Exchange } from './exchange.js';
import { StreamSession } from './streamRun.js';

function supportsChunked({ request }: Exchange): boolean {
  return request.httpVersionMajor > 1 || request.httpVersionMinor >= 1;
}

/** Forwards streams of events, and lets those that may be resumed go on at another endpoint. */
export class StreamForwarder {
  constructor(private readonly services: AttemptServices) {}

  /** Streams until the end; throws when the caller has received nothing or has left. */
  async forward(exchange: Exchange): Promise<void> {
    // Without chunks a caller could not tell a stream that is cut from a whole one.
    if (!supportsChunked(exchange)) throw new VersionUnsupported();
    const run = new StreamSession(exchange, this.services);
    try {
      await run.run();
    } catch (error) {
      if (!run.hasStarted || exchange.signal.reason === callerDisconnected) throw error;
      // A stream that is cut must not look whole.
      this.services.metrics.count('streams_cut');
      this.services.log.warn('Stream cut.', {
        id: exchange.head.id,
        lastEventId: run.lastEventId ?? null,
        reason: String(error),
      });
      exchange.response.destroy();
    }
  }
}
