import { ForeignBody } from './foreignBody.js';
import { isInterimHead, parseFramedHead } from './framedHead.js';
import type { FramedHeaders } from './framedHead.js';

/** Largest head that is examined, in bytes. */
const maxHeadBytes = 16_384;
/** Largest body of a response to another request that is read and dropped, in bytes. */
const maxForeignBytes = 4_194_304;

const headEnd = '\r\n\r\n';
const noBytes = Buffer.alloc(0);

/** Callbacks of a {@link ForeignResponseFilter}. */
export interface ForeignResponseObserver {
  /** Called when a response to another request begins to be dropped. */
  onForeign(responseId: string): void;
  /** Called at most once when it turns out that the end of a dropped response is not known. */
  onLost(reason: string): void;
}

/**
 * Filters what a connection with one waiting request receives. One complete response that states another
 * request's id, and where it ends, is dropped; all other bytes are passed on as they are. Nothing is
 * examined after the first byte of a final response was passed on: its reader must check its id.
 */
export class ForeignResponseFilter {
  /** Bytes that may be the start of a head. */
  private held: Buffer = noBytes;

  private body: ForeignBody | undefined;

  /** Last dropped bytes, in which the start of the waiting request's own id is sought. */
  private tail: Buffer = noBytes;

  private isPassing = false;

  private isLost = false;

  /** Number of bytes of the dropped response. */
  private dropped = 0;

  /** How the header with the waiting request's id ends in its response. */
  private readonly ownMark: Buffer;

  constructor(
    private readonly requestId: string,
    private readonly readId: (headers: FramedHeaders) => string | undefined,
    private readonly observer: ForeignResponseObserver,
  ) {
    this.ownMark = Buffer.from(`: ${requestId}\r\n`, 'latin1');
  }

  /** Whether a response was dropped, wholly or in part. */
  get hasDropped(): boolean {
    return this.dropped > 0;
  }

  /** Number of received bytes that were not passed on. */
  get withheldBytes(): number {
    return this.dropped + this.held.length;
  }

  /** Takes received bytes and returns those that are passed on. */
  push(bytes: Buffer): Buffer {
    if (this.isPassing) return bytes;
    if (this.isLost) return noBytes;
    let rest = this.held.length > 0 ? Buffer.concat([this.held, bytes]) : bytes;
    this.held = noBytes;
    const passed: Buffer[] = [];
    while (rest.length > 0 && !this.isLost) {
      const size = this.body ? this.drop(rest) : this.examine(rest, passed);
      if (size === 0) break;
      rest = rest.subarray(size);
    }
    return passed.length === 1 ? passed[0]! : Buffer.concat(passed);
  }

  /** Returns the held bytes, which no others follow. */
  end(): Buffer {
    const { held } = this;
    this.held = noBytes;
    return held;
  }

  /** Examines the bytes at the start of a response; returns the number of those that are settled. */
  private examine(bytes: Buffer, passed: Buffer[]): number {
    const end = bytes.indexOf(headEnd, 0, 'latin1');
    const headBytes = end + headEnd.length;
    if (end < 0 && bytes.length <= maxHeadBytes) {
      // It may be a part of a buffer that the connection uses again.
      this.held = Buffer.from(bytes);
      return 0;
    }
    const head = bytes.subarray(0, headBytes);
    if (end >= 0 && !head.includes(this.ownMark)) {
      if (isInterimHead(head)) {
        passed.push(head);
        return headBytes;
      }
      if (this.startDropping(head)) return headBytes;
    }
    this.isPassing = true;
    passed.push(bytes);
    return bytes.length;
  }

  /** Starts to drop the response with a head; returns false if it is to be passed on. */
  private startDropping(head: Buffer): boolean {
    if (this.hasDropped || head.length > maxHeadBytes) return false;
    const framed = parseFramedHead(head);
    if (!framed || (framed.bodyBytes ?? 0) > maxForeignBytes) return false;
    const responseId = this.readId(framed.headers);
    if (responseId === undefined || responseId === this.requestId) return false;
    this.dropped = head.length;
    this.body = new ForeignBody(framed.bodyBytes);
    if (this.body.isComplete) this.body = undefined;
    this.observer.onForeign(responseId);
    return true;
  }

  private drop(bytes: Buffer): number {
    const body = this.body!;
    const size = body.take(bytes);
    const part = bytes.subarray(0, size);
    this.dropped += size;
    if (body.isInvalid) this.lose('The chunks of a response to another request are invalid.');
    else if (this.containsOwnMark(part))
      this.lose('A response to another request contains the id of this one.');
    else if (this.dropped > maxForeignBytes + maxHeadBytes)
      this.lose(`A response to another request is larger than ${maxForeignBytes} bytes.`);
    if (body.isComplete) this.body = undefined;
    return size;
  }

  /** Whether dropped bytes contain the own id, so that the length of the dropped response is wrong. */
  private containsOwnMark(part: Buffer): boolean {
    const searched = this.tail.length > 0 ? Buffer.concat([this.tail, part]) : part;
    this.tail = Buffer.from(
      searched.subarray(Math.max(0, searched.length - this.ownMark.length + 1)),
    );
    return searched.includes(this.ownMark);
  }

  private lose(reason: string): void {
    this.isLost = true;
    this.observer.onLost(reason);
  }
}
