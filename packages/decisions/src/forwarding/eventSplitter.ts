/** A complete server-sent event, as the bytes that were received. */
export interface StreamEvent {
  /** Numeric event id; undefined when there is none. */
  readonly id: number | undefined;
  readonly bytes: Buffer;
}

const lineFeed = 0x0a;
const carriageReturn = 0x0d;
const idPattern = /^id: ?(\d+)\s*$/m;
const emptyBuffer: Buffer = Buffer.alloc(0);

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
  private rest: Buffer = emptyBuffer;

  /** Bytes of the incomplete event. */
  get partial(): Buffer {
    return this.rest;
  }

  /** Appends received bytes and returns the events that they complete. */
  push(bytes: Buffer): StreamEvent[] {
    const buffered = this.rest.length;
    const all = buffered === 0 ? bytes : Buffer.concat([this.rest, bytes]);
    const events: StreamEvent[] = [];
    let start = 0;
    let end = findEventEnd(all, Math.max(0, buffered - 2));
    while (end >= 0) {
      const event = all.subarray(start, end);
      events.push({ id: parseId(event), bytes: event });
      start = end;
      end = findEventEnd(all, start);
    }
    this.rest = start === 0 ? all : all.subarray(start);
    return events;
  }
}
