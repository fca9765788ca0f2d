import { ByteCollector } from '@laburnumstream/common';
import type { EventBatch } from '@laburnumstream/decisions';
import type { Exchange } from '../callers/exchange.js';
import type { HeaderCodec } from '../callers/headerCodec.js';

/**
 * Delivers one stream to its caller, across all attempts. There is one write at a time, and events that arrive during it
 * are written together after it: a write costs some hundred bytes of the heap until it is done. The response hands a write
 * to the operating system at the end of the turn of the event loop, so that a turn has two writes at most.
 */
export class EventDelivery {
  private hasWrittenHead = false;

  private lastId: number | undefined;

  private lastEventAt: number | undefined;

  /** Events that wait for the end of the write. */
  private readonly pending = new ByteCollector();

  /** Whether the last write has not been handed to the operating system. */
  private isWriting = false;

  private onDrained: (() => void) | undefined;

  /** Time until the first event, in milliseconds; undefined before it. */
  firstEventMs: number | undefined;

  /** Longest gap between two arrivals of events, in milliseconds. */
  maxGapMs = 0;

  constructor(
    private readonly exchange: Exchange,
    private readonly codec: HeaderCodec,
  ) {
    this.lastId = exchange.head.lastEventId;
  }

  get hasStarted(): boolean {
    return this.hasWrittenHead;
  }

  /** Id of the last delivered event, after which another attempt resumes. */
  get lastEventId(): number | undefined {
    return this.lastId;
  }

  /** Bytes that have been sent and not been handed to the operating system, as the caller reads slowly. */
  get unreadBytes(): number {
    return this.pending.heldBytes + this.exchange.response.writableLength;
  }

  /**
   * Sends complete events, after the head of the first attempt. Returns false while the caller does not take them;
   * `onDrained` is then called once when it has taken all.
   */
  send(
    status: number,
    rawHeaders: readonly string[],
    { bytes, lastId }: EventBatch,
    onDrained: () => void,
  ): boolean {
    this.writeHead(status, rawHeaders);
    this.lastId = lastId;
    if (bytes.length === 0) return true;
    if (this.isWriting) this.pending.push(bytes);
    else if (this.write(bytes)) return true;
    this.onDrained = onDrained;
    return false;
  }

  /** Records that events have arrived at a monotonic time in milliseconds. */
  recordEvent(now: number): void {
    if (this.lastEventAt === undefined) this.firstEventMs = now - this.exchange.arrivedAt;
    else this.maxGapMs = Math.max(this.maxGapMs, now - this.lastEventAt);
    this.lastEventAt = now;
  }

  /** Ends the response after the last event. */
  finish(status: number, rawHeaders: readonly string[]): void {
    this.writeHead(status, rawHeaders);
    const { response } = this.exchange;
    if (this.pending.length > 0) response.write(this.pending.take());
    response.end();
  }

  /** Returns false on backpressure. */
  private write(bytes: Buffer): boolean {
    this.isWriting = true;
    return this.exchange.response.write(bytes, this.handleWritten);
  }

  private readonly handleWritten = (error: Error | null | undefined): void => {
    // The caller has left, and the request is aborted.
    if (error) return;
    this.isWriting = false;
    if (this.pending.length > 0) {
      this.write(this.pending.take());
      return;
    }
    const { onDrained } = this;
    this.onDrained = undefined;
    onDrained?.();
  };

  private writeHead(status: number, rawHeaders: readonly string[]): void {
    if (this.hasWrittenHead) return;
    this.hasWrittenHead = true;
    this.exchange.response.writeHead(status, this.codec.encodeResponseHeaders(rawHeaders));
  }
}
