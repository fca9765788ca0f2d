import { ByteCollector, ResponseTooLarge } from '@laburnumstream/common';
import type { Clock } from '@laburnumstream/common';
import { ResponseAction, EventSplitter, classifyResponse } from '@laburnumstream/decisions';
import type { EventBatch, ResponseMemory } from '@laburnumstream/decisions';
import type { Attempt } from './attempt.js';
import { CallFault, Framing, isSuccess } from '../endpoints/endpointCall.js';
import type { CallObserver } from '../endpoints/endpointCall.js';
import type { MovableStream } from '../endpoints/endpointHandle.js';
import type { EventDelivery } from './eventDelivery.js';
import type { ResponseHead } from '../callers/heads.js';
import { maxEventBytes, maxUnreadBytes } from '../endpoints/responseBounds.js';
import { ResponseHold } from './responseHold.js';

/** Outcome of one attempt at a stream. */
export type StreamOutcome =
  /** The stream ended and was delivered completely. */
  | { readonly kind: 'complete' }
  /** The endpoint sent a response that is not a stream. */
  | {
      readonly kind: 'response';
      readonly status: number;
      readonly head: ResponseHead;
      readonly rawHeaders: readonly string[];
      readonly body: Buffer;
    }
  | { readonly kind: 'fault'; readonly fault: CallFault; readonly reason: string };

/** Timeout for the first event of an attempt, in milliseconds. */
const firstEventTimeoutMs = 900;
/** Time after an event in which further ones are not recorded, in milliseconds: they would change nothing. */
const minRecordIntervalMs = 1;
/** Timeout between two events of an attempt, in milliseconds. */
const eventTimeoutMs = 700;

/** Relays the events of one attempt to the caller. */
export class EventRelay implements CallObserver, MovableStream {
  readonly outcome: Promise<StreamOutcome>;

  /** Resolves when a move of the stream to another endpoint is requested. */
  readonly moveRequested: Promise<void>;

  /** Requests that the stream be resumed at another endpoint. */
  readonly move: () => void;

  hasEvents = false;

  private attempt: Attempt | undefined;

  private settle: (outcome: StreamOutcome) => void = () => undefined;

  private readonly splitter = new EventSplitter();

  private readonly body = new ByteCollector();

  private readonly hold: ResponseHold;

  private status = 0;

  private head: ResponseHead | undefined;

  private rawHeaders: readonly string[] = [];

  private isStream = false;

  private timer: NodeJS.Timeout | undefined;

  /** Time of `timer`, in milliseconds. */
  private timerMs = 0;

  /** Bytes that the caller has not taken and that are counted in `hold`. */
  private unreadBytes = 0;

  /** Monotonic time at which an event was recorded last, in milliseconds. */
  private recordedAt = -Infinity;

  private isDetached = false;

  constructor(
    private readonly delivery: EventDelivery,
    private readonly clock: Clock,
    /** Whether the stream could be resumed elsewhere; otherwise its timeouts are not enforced. */
    private readonly couldResume: () => boolean,
    memory: ResponseMemory,
  ) {
    this.hold = new ResponseHold(memory);
    this.outcome = new Promise((resolve) => {
      this.settle = resolve;
    });
    let move: () => void = () => undefined;
    this.moveRequested = new Promise((resolve) => {
      move = resolve;
    });
    this.move = move;
  }

  /** Attaches the attempt with which the request has been sent. */
  attach(attempt: Attempt): void {
    this.attempt = attempt;
    attempt.handle.addStream(this, this.clock.now());
    this.startTimer(firstEventTimeoutMs);
  }

  onHead(status: number, head: ResponseHead, rawHeaders: readonly string[]): void {
    this.status = status;
    this.head = head;
    this.rawHeaders = rawHeaders;
    this.isStream =
      isSuccess(status) && classifyResponse({ status, ...head }).action === ResponseAction.deliver;
  }

  onData(bytes: Buffer): void {
    if (!this.isStream) {
      this.hold.resize(this.body.length + bytes.length);
      this.body.push(bytes);
      return;
    }
    const batch = this.splitter.push(bytes, this.delivery.lastEventId);
    if (batch.count > 0) this.deliver(batch);
    const { partialBytes } = this.splitter;
    if (partialBytes > maxEventBytes)
      throw new ResponseTooLarge(`${partialBytes} bytes of an incomplete event`);
    this.hold.resize(partialBytes + this.unreadBytes);
  }

  private deliver(batch: EventBatch): void {
    const now = this.clock.now();
    if (now - this.recordedAt >= minRecordIntervalMs) this.recordEvent(now);
    const { status, rawHeaders, handleDrain } = this;
    if (!this.delivery.send(status, rawHeaders, batch, handleDrain)) this.keepUnread();
  }

  private recordEvent(now: number): void {
    this.recordedAt = now;
    this.hasEvents = true;
    this.startTimer(eventTimeoutMs);
    this.attempt?.markPrefilled();
    this.attempt?.handle.recordEvent(now);
    this.delivery.recordEvent(now);
  }

  /** Keeps what a slow caller has not taken, and lets the endpoint wait only if it is too much. */
  private keepUnread(): void {
    const { unreadBytes } = this.delivery;
    const isKept = unreadBytes <= maxUnreadBytes && this.hold.tryResize(unreadBytes);
    if (isKept) this.unreadBytes = unreadBytes;
    else this.attempt?.call.pause();
  }

  private readonly handleDrain = (): void => {
    this.unreadBytes = 0;
    if (!this.isDetached) this.hold.tryResize(this.splitter.partialBytes);
    this.attempt?.call.resume();
  };

  onEnd(): void {
    this.detach();
    if (this.isStream && this.isTruncated) {
      const reason =
        this.splitter.partialBytes > 0 ? 'ended within an event' : 'ended without an event';
      this.settle({ kind: 'fault', fault: CallFault.truncated, reason });
      return;
    }
    if (this.isStream) {
      this.delivery.finish(this.status, this.rawHeaders);
      this.settle({ kind: 'complete' });
      return;
    }
    const { status, rawHeaders } = this;
    const body = this.body.take();
    this.settle({ kind: 'response', status, head: this.head!, rawHeaders, body });
  }

  onFailure(fault: CallFault, reason: string): void {
    this.detach();
    this.settle({ kind: 'fault', fault, reason });
  }

  /** Aborts the attempt. */
  abort(): void {
    this.detach();
    this.attempt?.call.abort();
    this.attempt?.markEnded();
    this.settle({ kind: 'fault', fault: CallFault.aborted, reason: 'aborted' });
  }

  /**
   * A stream that ends within an event is truncated whatever its framing says, as a faulty endpoint may end its framing
   * properly. One that is framed only by its connection is truncated also if it ends without any event.
   */
  private get isTruncated(): boolean {
    if (this.splitter.partialBytes > 0) return true;
    const { framing } = this.attempt?.call.stats ?? {};
    if (framing !== Framing.connection) return false;
    return !this.hasEvents && this.delivery.lastEventId === undefined;
  }

  private detach(): void {
    this.isDetached = true;
    clearTimeout(this.timer);
    this.hold.release();
    this.attempt?.handle.removeStream(this);
  }

  private startTimer(ms: number): void {
    if (this.timer && this.timerMs === ms) {
      this.timer.refresh();
      return;
    }
    clearTimeout(this.timer);
    this.timerMs = ms;
    this.timer = setTimeout(() => {
      if (!this.couldResume()) {
        this.startTimer(ms);
        return;
      }
      this.detach();
      this.attempt?.call.abort();
      this.settle({ kind: 'fault', fault: CallFault.silent, reason: `no event for ${ms} ms` });
    }, ms);
  }
}
