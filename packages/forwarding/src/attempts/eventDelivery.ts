import type { Clock } from '@laburnumstream/common';
import type { StreamEvent } from '@laburnumstream/decisions';
import type { Exchange } from '../callers/exchange.js';
import type { HeaderCodec } from '../callers/headerCodec.js';

/** Delivers one stream to its caller, across all attempts. */
export class EventDelivery {
  private hasWrittenHead = false;

  private lastId: number | undefined;

  private lastSentAt: number | undefined;

  /** Time until the first event, in milliseconds; undefined before it. */
  firstEventMs: number | undefined;

  /** Longest gap between two deliveries of events, in milliseconds. */
  maxGapMs = 0;

  constructor(
    private readonly exchange: Exchange,
    private readonly codec: HeaderCodec,
    private readonly clock: Clock,
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

  /** Bytes that have been written and not been handed to the operating system, as the caller reads slowly. */
  get unreadBytes(): number {
    return this.exchange.response.writableLength;
  }

  /** Writes complete events, after the head of the first attempt; returns false on backpressure. */
  send(status: number, rawHeaders: readonly string[], events: readonly StreamEvent[]): boolean {
    const { response } = this.exchange;
    this.writeHead(status, rawHeaders);
    this.recordGap();
    let isWritable = true;
    events.forEach(({ id, bytes }) => {
      // An endpoint that resumes a stream may repeat events that the caller already has.
      if (id !== undefined && this.lastId !== undefined && id <= this.lastId) return;
      this.lastId = id ?? this.lastId;
      isWritable = response.write(bytes);
    });
    return isWritable;
  }

  /** Ends the response after the last event. */
  finish(status: number, rawHeaders: readonly string[]): void {
    this.writeHead(status, rawHeaders);
    this.exchange.response.end();
  }

  private recordGap(): void {
    const now = this.clock.now();
    if (this.lastSentAt === undefined) this.firstEventMs = now - this.exchange.arrivedAt;
    else this.maxGapMs = Math.max(this.maxGapMs, now - this.lastSentAt);
    this.lastSentAt = now;
  }

  private writeHead(status: number, rawHeaders: readonly string[]): void {
    if (this.hasWrittenHead) return;
    this.hasWrittenHead = true;
    this.exchange.response.writeHead(status, this.codec.encodeResponseHeaders(rawHeaders));
  }
}
