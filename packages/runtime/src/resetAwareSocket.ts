import { Socket } from 'node:net';
import { ConnectionReset } from '@laburnumstream/common';

/** Empty line, which a server ignores before a request line. */
const probe = '\r\n';
/** Time within which a peer that has closed its side must accept the probe, in milliseconds. */
const probeTimeoutMs = 500;

/** Error codes that report a reset connection on a read or write. */
const resetCodes = new Set(['ECONNRESET', 'EPIPE']);

function getErrorCode(error: Error | undefined): string {
  return (error as { code?: string } | undefined)?.code ?? '';
}

/** Takes what a socket receives before the socket's reader gets it. */
export interface InputFilter {
  /** Returns the bytes that the reader gets now. */
  push(bytes: Buffer): Buffer;
  /** Returns the bytes that the reader gets before the connection's end. */
  end(): Buffer;
}

/**
 * A socket that emits `end` only if the peer has really closed the connection. Node reports a reset
 * that arrives together with data as an end, and undici treats the error code of a reset as the end of
 * a response without a length. This socket always reports a reset as the error {@link ConnectionReset}:
 * before emitting `end` it writes two bytes, which fails on a connection that was reset. It emits `end`
 * only when the reader reads past the last bytes, since undici fails if `end` arrives while it is paused.
 */
export class ResetAwareSocket extends Socket {
  /** Filter of the bytes that arrive from now on; undefined for none. */
  inputFilter: InputFilter | undefined;

  /** Whether the peer has closed its side but `end` has not been emitted yet. */
  private isEndPending = false;

  /** The reset with which it is being destroyed. */
  private pendingReset: { readonly cause: Error | undefined } | undefined;

  constructor(
    /** Whether destroying it resets the connection, so that data in transit is not delivered. */
    private readonly resetsWhenDestroyed = false,
  ) {
    // The probe is written after the peer has closed its side.
    super({ allowHalfOpen: true });
  }

  override push(chunk: unknown, encoding?: BufferEncoding): boolean {
    if (chunk !== null) return this.pushBytes(chunk, encoding);
    const rest = this.inputFilter?.end();
    if (rest?.length) super.push(rest);
    const timer = setTimeout(() => this.destroy(new ConnectionReset()), probeTimeoutMs);
    this.write(probe, (error) => {
      clearTimeout(timer);
      // On an error the stream is destroyed automatically.
      if (!error) this.scheduleEnd();
    });
    return false;
  }

  override read(size?: number): unknown {
    if (this.isEndPending && this.readableLength === 0) this.emitEnd();
    return super.read(size);
  }

  override destroy(error?: Error): this {
    const cause = resetCodes.has(getErrorCode(error)) ? new ConnectionReset(error) : error;
    if (this.pendingReset) return super.destroy(this.pendingReset.cause);
    if (!this.resetsWhenDestroyed || this.connecting || this.destroyed) return super.destroy(cause);
    this.pendingReset = { cause };
    // It calls this method again, without the cause.
    return this.resetAndDestroy();
  }

  private pushBytes(chunk: unknown, encoding?: BufferEncoding): boolean {
    if (!this.inputFilter || !Buffer.isBuffer(chunk)) return super.push(chunk, encoding);
    const bytes = this.inputFilter.push(chunk);
    // Without bytes for its reader the socket goes on receiving.
    return bytes.length === 0 || super.push(bytes);
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
