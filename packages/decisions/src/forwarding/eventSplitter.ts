import { ByteCollector } from '@laburnumstream/common';

/** A complete server-sent event, as the bytes that were received. */
export interface StreamEvent {
  /** Numeric event id; undefined when there is none. */
  readonly id: number | undefined;
  readonly bytes: Buffer;
}

const lineFeed = 0x0a;
const carriageReturn = 0x0d;
const idPattern = /^id: ?(\d+)\s*$/m;
/** Length of the longest part of a blank line that does not end an event yet, in bytes. */
const endPartBytes = 2;

function parseId(bytes: Buffer): number | undefined {
  const match = idPattern.exec(bytes.toString('latin1'));
  return match ? Number(match[1]) : undefined;
}

/** Offset after the blank line that ends the first event; -1 when the event is incomplete. */
function findEventEnd(bytes: Buffer, from: number): number {
  for (let at = bytes.indexOf(lineFeed, from); at >= 0; at = bytes.indexOf(lineFeed, at + 1)) {
    const next = bytes[at + 1];
    if (next === lineFeed) return at + 2;
    if (next === carriageReturn && bytes[at + 2] === lineFeed) return at + 3;
  }
  return -1;
}

/** Splits a stream of server-sent events into complete events and buffers an incomplete one. */
export class EventSplitter {
  private readonly rest = new ByteCollector();

  /** Bytes of the incomplete event. */
  get partial(): Buffer {
    return this.rest.concat();
  }

  /** Number of bytes of the incomplete event. */
  get partialBytes(): number {
    return this.rest.length;
  }

  /** Appends received bytes and returns the events that they complete. */
  push(bytes: Buffer): StreamEvent[] {
    const events: StreamEvent[] = [];
    let start = 0;
    let end = this.rest.length === 0 ? findEventEnd(bytes, 0) : this.findPartialEnd(bytes);
    while (end >= 0) {
      const event = this.takeEvent(bytes.subarray(start, end));
      events.push({ id: parseId(event), bytes: event });
      start = end;
      end = findEventEnd(bytes, start);
    }
    if (start < bytes.length) this.rest.push(start === 0 ? bytes : bytes.subarray(start));
    return events;
  }

  /** Offset in `bytes` after the end of the incomplete event; -1 when they do not complete it. */
  private findPartialEnd(bytes: Buffer): number {
    const tail = this.rest.tail(endPartBytes);
    const end = findEventEnd(Buffer.concat([tail, bytes]), 0);
    return end < 0 ? end : end - tail.length;
  }

  /** Returns an event that `last` ends, and clears the incomplete event. */
  private takeEvent(last: Buffer): Buffer {
    if (this.rest.length === 0) return last;
    const event = Buffer.concat([this.rest.concat(), last]);
    this.rest.clear();
    return event;
  }
}
