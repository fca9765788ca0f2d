import type { Clock } from '@laburnumstream/common';
import { ResponseAction, EventSplitter, classifyResponse } from '@laburnumstream/decisions';
import type { Attempt } from './attempt.js';
import { CallFault, Framing, isSuccess } from './endpointCall.js';
import type { CallObserver } from './endpointCall.js';
import type { MovableStream } from './endpointHandle.js';
import type { EventDelivery } from './eventDelivery.js';
import type { Exchange } from './exchange.js';
import type { AnswerHead } from './heads.js';

/** How an attempt to stream ended. */
export type StreamOutcome =
  | { readonly kind: 'whole' }
  | {
      readonly kind: 'answer';
      readonly status: number;
      readonly head: AnswerHead;
      readonly rawHeaders: readonly string[];
      readonly body: Buffer;
    }
  | { readonly kind: 'fault'; readonly fault: CallFault; readonly reason: string };

/** Longest time until the first event of an attempt, in milliseconds. */
const firstEventTimeoutMs = 900;
/** Longest pause between two events of an attempt, in milliseconds. */
const pauseTimeoutMs = 700;

/** Relays the events of one attempt to the caller. */
export class EventRelay implements CallObserver, MovableStream {
  readonly outcome: Promise<StreamOutcome>;

  /** Resolves when the stream should go on elsewhere. */
  readonly moveAsked: Promise<void>;

  /** Asks for the stream to go on elsewhere. */
  readonly move: () => void;

  hasEvents = false;

  private attempt: Attempt | undefined;

  private settle: (outcome: StreamOutcome) => void = () => undefined;

  private readonly splitter = new EventSplitter();

  private readonly parts: Buffer[] = [];

  private status = 0;

  private head: AnswerHead | undefined;

  private rawHeaders: readonly string[] = [];

  private isStream = false;

  private timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly exchange: Exchange,
    private readonly delivery: EventDelivery,
    private readonly clock: Clock,
    /** Whether the stream could go on elsewhere: else its endpoint's silence ends nothing. */
    private readonly couldGoOn: () => boolean,
  ) {
    this.outcome = new Promise((resolve) => {
      this.settle = resolve;
    });
    let move: () => void = () => undefined;
    this.moveAsked = new Promise((resolve) => {
      move = resolve;
    });
    this.move = move;
  }

  /** Whether any byte of the request may have reached the endpoint. */
  get wasSent(): boolean {
    return this.attempt?.call.wasSent ?? false;
  }

  /** The request has been sent. */
  follow(attempt: Attempt): void {
    this.attempt = attempt;
    attempt.handle.addStream(this, this.clock.now());
    this.startTimer(firstEventTimeoutMs);
  }

  began(status: number, head: AnswerHead, rawHeaders: readonly string[]): void {
    this.status = status;
    this.head = head;
    this.rawHeaders = rawHeaders;
    this.isStream = isSuccess(status) && classifyResponse({ status, ...head }).action === ResponseAction.deliver;
  }

  data(bytes: Buffer): void {
    if (!this.isStream) {
      this.parts.push(bytes);
      return;
    }
    const events = this.splitter.push(bytes);
    if (events.length === 0) return;
    this.hasEvents = true;
    this.startTimer(pauseTimeoutMs);
    this.attempt?.wasRead();
    this.attempt?.handle.heardEvent(this.clock.now());
    if (this.delivery.send(this.status, this.rawHeaders, events)) return;
    this.attempt?.call.pause();
    this.exchange.response.once('drain', () => this.attempt?.call.resume());
  }

  ended(): void {
    this.leave();
    if (this.isStream && this.isCut) {
      const reason = this.hasEvents ? 'ended within an event' : 'ended without an event';
      this.settle({ kind: 'fault', fault: CallFault.truncated, reason });
      return;
    }
    if (this.isStream) {
      this.delivery.finish(this.status, this.rawHeaders, this.splitter.partial);
      this.settle({ kind: 'whole' });
      return;
    }
    const { status, rawHeaders } = this;
    const body = Buffer.concat(this.parts);
    this.settle({ kind: 'answer', status, head: this.head!, rawHeaders, body });
  }

  failed(fault: CallFault, reason: string): void {
    this.leave();
    this.settle({ kind: 'fault', fault, reason });
  }

  /** Ends the attempt from this side. */
  abort(): void {
    this.leave();
    this.attempt?.call.abort();
    this.attempt?.ended();
    this.settle({ kind: 'fault', fault: CallFault.aborted, reason: 'ended by its owner' });
  }

  /** A stream that only its connection ended is not whole within an event, or before the first one. */
  private get isCut(): boolean {
    const { framing } = this.attempt?.call.evidence ?? {};
    if (framing !== Framing.connection) return false;
    const hasBegun = this.hasEvents || this.delivery.lastEventId !== undefined;
    return !hasBegun || this.splitter.partial.length > 0;
  }

  private leave(): void {
    clearTimeout(this.timer);
    this.attempt?.handle.removeStream(this);
  }

  private startTimer(ms: number): void {
    clearTimeout(this.timer);
    this.timer = setTimeout(() => {
      if (!this.couldGoOn()) {
        this.startTimer(ms);
        return;
      }
      this.leave();
      this.attempt?.call.abort();
      this.settle({ kind: 'fault', fault: CallFault.silent, reason: `silent for ${ms} ms` });
    }, ms);
  }
}
