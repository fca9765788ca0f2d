/** One whole event of a stream, as the bytes that were received. */
export interface StreamEvent {
  /** Id of the event; undefined when it has none. */
  readonly id: number | undefined;
  readonly bytes: Buffer;
}

const lineFeed = 0x0a;
const carriageReturn = 0x0d;
const idPattern = /^id: ?(\d+)\s*$/m;
const nothing: Buffer = Buffer.alloc(0);

function parseId(bytes: Buffer): number | undefined {
  const match = idPattern.exec(bytes.toString('latin1'));
  return match ? Number(match[1]) : undefined;
}

/** Position after the blank line that ends the first event; -1 when it has not ended. */
function endOfEvent(bytes: Buffer, from: number): number {
  for (let at = bytes.indexOf(lineFeed, from); at >= 0; at = bytes.indexOf(lineFeed, at + 1)) {
    const next = bytes[at + 1];
    if (next === lineFeed) return at + 2;
    if (next === carriageReturn && bytes[at + 2] === lineFeed) return at + 3;
  }
  return -1;
}

/** Cuts a stream of server-sent events into whole events; keeps the start of one that has not ended. */
export class EventSplitter {
  private rest: Buffer = nothing;

  /** Bytes of an event that has not ended. */
  get partial(): Buffer {
    return this.rest;
  }

  /** Takes bytes as they arrive and returns the events that they complete. */
  push(bytes: Buffer): StreamEvent[] {
    const known = this.rest.length;
    const all = known === 0 ? bytes : Buffer.concat([this.rest, bytes]);
    const events: StreamEvent[] = [];
    let start = 0;
    let end = endOfEvent(all, Math.max(0, known - 2));
    while (end >= 0) {
      const event = all.subarray(start, end);
      events.push({ id: parseId(event), bytes: event });
      start = end;
      end = endOfEvent(all, start);
    }
    this.rest = start === 0 ? all : all.subarray(start);
    return events;
  }
}
