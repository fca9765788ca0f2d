import type { Clock } from '@laburnumstream/common';
import type { StreamEvent } from '@laburnumstream/decisions';
import type { Exchange } from './exchange.js';
import type { HeaderCodec } from './headerCodec.js';

/** What a caller has received of one stream, over all attempts. */
export class EventDelivery {
  private hasWrittenHead = false;

  private lastId: number | undefined;

  private lastSentAt: number | undefined;

  /** Time until the first event, in milliseconds; undefined before it. */
  firstEventMs: number | undefined;

  /** Longest pause between two events, in milliseconds. */
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

  /** The event after which another attempt has to go on. */
  get lastEventId(): number | undefined {
    return this.lastId;
  }

  /** Sends whole events on, with the head of the first attempt; returns whether there is room. */
  send(status: number, rawHeaders: readonly string[], events: readonly StreamEvent[]): boolean {
    const { response } = this.exchange;
    this.writeHead(status, rawHeaders);
    this.recordGap();
    let hasRoom = true;
    events.forEach(({ id, bytes }) => {
      // An endpoint that goes on may begin with events that the caller has.
      if (id !== undefined && this.lastId !== undefined && id <= this.lastId) return;
      this.lastId = id ?? this.lastId;
      hasRoom = response.write(bytes);
    });
    return hasRoom;
  }

  /** The stream is whole. */
  finish(status: number, rawHeaders: readonly string[], rest: Buffer): void {
    this.writeHead(status, rawHeaders);
    if (rest.length > 0) this.exchange.response.write(rest);
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
