import type { Clock } from '@laburnumstream/common';
import type { StreamEvent } from '@laburnumstream/decisions';
import type { Exchange } from './exchange.js';
import type { HeaderCodec } from './headerCodec.js';

/** What a caller has received of one stream, over all attempts. */
export class EventDelivery {
  private hasHead = false;

  private lastId: number | undefined;

  private lastSentAt: number | undefined;

  /** Time until the first event, in milliseconds; undefined before it. */
  firstEventMs: number | undefined;

  /** Longest pause between two events, in milliseconds. */
  longestPauseMs = 0;

  constructor(
    private readonly exchange: Exchange,
    private readonly codec: HeaderCodec,
    private readonly clock: Clock,
  ) {
    this.lastId = exchange.head.lastEventId;
  }

  get hasBegun(): boolean {
    return this.hasHead;
  }

  /** The event after which another attempt has to go on. */
  get lastEventId(): number | undefined {
    return this.lastId;
  }

  /** Sends whole events on, with the head of the first attempt; returns whether there is room. */
  send(status: number, rawHeaders: readonly string[], events: readonly StreamEvent[]): boolean {
    const { response } = this.exchange;
    this.begin(status, rawHeaders);
    this.notePause();
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
    this.begin(status, rawHeaders);
    if (rest.length > 0) this.exchange.response.write(rest);
    this.exchange.response.end();
  }

  private notePause(): void {
    const now = this.clock.now();
    if (this.lastSentAt === undefined) this.firstEventMs = now - this.exchange.arrivedAt;
    else this.longestPauseMs = Math.max(this.longestPauseMs, now - this.lastSentAt);
    this.lastSentAt = now;
  }

  private begin(status: number, rawHeaders: readonly string[]): void {
    if (this.hasHead) return;
    this.hasHead = true;
    this.exchange.response.writeHead(status, this.codec.encodeAnswerHeaders(rawHeaders));
  }
}
