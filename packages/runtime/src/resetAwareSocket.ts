import { Socket } from 'node:net';
import { ConnectionReset } from '@laburnumstream/common';

/** Bytes that may stand before a request and mean nothing. */
const probe = '\r\n';
/** Time in which a peer that has ended its side takes what is under way to it, in milliseconds. */
const probeTimeoutMs = 500;

/** Errors by which the system tells of a reset when it is read or written. */
const resetCodes = new Set(['ECONNRESET', 'EPIPE']);

function getErrorCode(error: Error | undefined): string {
  return (error as { code?: string } | undefined)?.code ?? '';
}

/**
 * A connection whose `end` means that the peer closed it. Node reports a reset that arrives together
 * with data as an end, and undici takes the error code of a reset for the end of an answer that has no
 * length. Here a reset is always an error, {@link ConnectionReset}: before it tells the end, the socket
 * writes two bytes, which a connection that was reset does not accept. The end comes only to a reader
 * that reads on after the last bytes, since undici fails when it comes while it has paused.
 */
export class ResetAwareSocket extends Socket {
  /** Whether the peer has closed its side and the reader does not know yet. */
  private isEndPending = false;

  constructor() {
    // The connection must still accept bytes when the peer has ended its side.
    super({ allowHalfOpen: true });
  }

  override push(chunk: unknown, encoding?: BufferEncoding): boolean {
    if (chunk !== null) return super.push(chunk, encoding);
    const timer = setTimeout(() => this.destroy(new ConnectionReset()), probeTimeoutMs);
    this.write(probe, (error) => {
      clearTimeout(timer);
      // On an error the stream destroys itself.
      if (!error) this.scheduleEnd();
    });
    return false;
  }

  override read(size?: number): unknown {
    if (this.isEndPending && this.readableLength === 0) this.emitEnd();
    return super.read(size);
  }

  override destroy(error?: Error): this {
    return super.destroy(resetCodes.has(getErrorCode(error)) ? new ConnectionReset(error) : error);
  }

  private scheduleEnd(): void {
    this.isEndPending = true;
    if (this.readableFlowing) this.emitEnd();
    else this.emit('readable');
  }

  private emitEnd(): void {
    this.isEndPending = false;
    super.push(null);
  }
}
