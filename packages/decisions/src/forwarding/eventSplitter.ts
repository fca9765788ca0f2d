import { ByteBlocks, ByteCollector } from '@laburnumstream/common';

/** Complete server-sent events that arrived together. */
export interface EventBatch {
  /** All events, without those that the reader already has; empty if there are none. */
  readonly bytes: Buffer;
  /** Number of events that were completed. */
  readonly count: number;
  /** Numeric id of the last event that has one, or the id before it. */
  readonly lastId: number | undefined;
}

const noBytes: Buffer = Buffer.alloc(0);
const lineFeed = 0x0a;
const carriageReturn = 0x0d;
const idPattern = /^id: ?(\d+)\s*$/m;
/** Length of the shortest event with an id, in bytes. */
const minBytesWithId = 'id:0\n\n'.length;

/** How much of the blank line that ends an event has been read. */
const EndProgress = {
  none: 0,
  lineFeed: 1,
  carriageReturn: 2,
} as const;

/** One of the values of {@link EndProgress}. */
type EndProgress = (typeof EndProgress)[keyof typeof EndProgress];

function parseId(bytes: Buffer, start: number, end: number): number | undefined {
  if (end - start < minBytesWithId) return undefined;
  const match = idPattern.exec(bytes.toString('latin1', start, end));
  return match ? Number(match[1]) : undefined;
}

/**
 * Splits a stream of server-sent events into complete events and buffers an incomplete one. What arrives together is
 * returned as one batch, so that its cost grows with its bytes and not with the number of events in them.
 */
export class EventSplitter {
  private readonly rest = new ByteBlocks();

  private endProgress: EndProgress = EndProgress.none;

  /** Number of bytes of the incomplete event. */
  get partialBytes(): number {
    return this.rest.length;
  }

  /**
   * Appends received bytes and returns the events that they complete. Events whose ids are not above `lastId`, which the
   * reader has, are left out: an endpoint that resumes a stream may repeat them.
   */
  push(received: Buffer, lastId?: number): EventBatch {
    const firstEnd = this.findEnd(received, 0);
    if (firstEnd < 0) {
      this.rest.push(received);
      return { bytes: noBytes, count: 0, lastId };
    }
    const bytes = this.takeRest(received);
    return this.collect(bytes, firstEnd + bytes.length - received.length, lastId);
  }

  /** Returns the bytes of the incomplete event with those that follow. */
  private takeRest(received: Buffer): Buffer {
    return this.rest.length === 0 ? received : Buffer.concat([this.rest.takeCopy(), received]);
  }

  /** Collects the events in `bytes`, the first of which ends at `firstEnd`, and keeps the incomplete one after them. */
  private collect(bytes: Buffer, firstEnd: number, lastId: number | undefined): EventBatch {
    /** Kept events before `keptFrom`; undefined if there are none. */
    let kept: ByteCollector | undefined;
    let keptFrom = 0;
    let last = lastId;
    let count = 0;
    let start = 0;
    for (let end = firstEnd; end >= 0; end = this.findEnd(bytes, start)) {
      const id = parseId(bytes, start, end);
      if (id !== undefined && last !== undefined && id <= last) {
        if (keptFrom < start) {
          kept ??= new ByteCollector();
          kept.push(bytes.subarray(keptFrom, start));
        }
        keptFrom = end;
      } else last = id ?? last;
      count += 1;
      start = end;
    }
    if (start < bytes.length) this.rest.push(bytes.subarray(start));
    const lastKept = bytes.subarray(keptFrom, start);
    kept?.push(lastKept);
    return { bytes: kept?.take() ?? lastKept, count, lastId: last };
  }

  /** Offset after the blank line that ends the event which is read; -1 when it is incomplete. */
  private findEnd(bytes: Buffer, from: number): number {
    let progress = this.endProgress;
    for (let at = from; at < bytes.length; at += 1) {
      const byte = bytes[at];
      if (byte === lineFeed) {
        if (progress !== EndProgress.none) {
          this.endProgress = EndProgress.none;
          return at + 1;
        }
        progress = EndProgress.lineFeed;
      } else if (byte === carriageReturn && progress === EndProgress.lineFeed)
        progress = EndProgress.carriageReturn;
      else progress = EndProgress.none;
    }
    this.endProgress = progress;
    return -1;
  }
}
