import type { Clock } from '@laburnumstream/common';
import { expectedAnswerMs, roundsAhead } from '@laburnumstream/decisions';
import type { EndpointHandle } from '../endpoints/endpointHandle.js';

/** Compares the time to an attempt's answer with what was expected when it was sent. */
export class AttemptTiming {
  private readonly sentAt: number;

  private readonly expectedMs: number;

  /** Rounds of other requests that the endpoint had to serve before this one. */
  private readonly rounds: number;

  private readonly pace: number;

  private isRecorded = false;

  /** Starts the time of an attempt that is counted in the endpoint's load. */
  constructor(
    private readonly handle: EndpointHandle,
    promptTokens: number,
    prefillMs: number,
    private readonly clock: Pick<Clock, 'now'>,
  ) {
    this.sentAt = clock.now();
    const counted = { requests: 1, unreadMs: prefillMs };
    this.expectedMs = expectedAnswerMs(handle, promptTokens, this.sentAt, counted);
    this.rounds = roundsAhead(handle.load.outstanding(this.sentAt, 1), handle.slots);
    this.pace = this.paceAt(this.sentAt);
  }

  /** Records that the response, or its first event, has arrived; `endpoints` are all of the service, this one too. */
  recordAnswer(endpoints: readonly EndpointHandle[]): void {
    if (this.isRecorded) return;
    this.isRecorded = true;
    const { handle, sentAt } = this;
    const now = this.clock.now();
    const ms = now - sentAt;
    const pace = this.paceAt(now);
    // A pace that the endpoint states is in the estimates of the next requests, and no reason for fewer of them.
    const expectedMs = this.expectedMs * Math.max(1, pace / this.pace);
    const outstanding = Math.max(0, handle.windowedRequests(now) - 1);
    handle.load.window.recordAnswer({ ms, expectedMs, sentAt }, outstanding, now);
    if (handle.model) return;
    const serviceMs = ms / pace / (1 + this.rounds);
    handle.learnedTime.record(serviceMs, now);
    endpoints.forEach(({ learnedTime }) => learnedTime.recordOfService(serviceMs, now));
  }

  private paceAt(now: number): number {
    return this.handle.statedPace.factor(now) ?? this.handle.load.slowdown;
  }
}
