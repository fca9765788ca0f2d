import { Execution } from '@laburnumstream/common';
import type { Failure, Metrics, Route } from '@laburnumstream/common';
import { callerDisconnected } from './exchange.js';
import type { Exchange } from './exchange.js';
import { Refusal } from './refusal.js';

/** Outcome of a request from its caller's point of view. */
export const RequestOutcome = {
  /** The caller got a complete response from an endpoint. */
  answered: 'answered',
  /** The request was not executed, and the caller was asked to retry. */
  refused: 'refused',
  /** The request may have been executed, or cannot be served. */
  failed: 'failed',
  /** The caller got a truncated response. */
  cut: 'cut',
  /** The caller disconnected before the end. */
  left: 'left',
} as const;

/** One of the values of {@link RequestOutcome}. */
export type RequestOutcome = (typeof RequestOutcome)[keyof typeof RequestOutcome];

/** Label of outcomes that need no reason. */
const noReason = 'none';
const noRoute = 'none';

/** Counts callers' requests by route, outcome and reason. */
export class RequestCounter {
  constructor(private readonly metrics: Metrics) {}

  /** Counts a request whose forwarding has ended, with a complete or a truncated response. */
  countForwarded({ route, response, signal }: Exchange): void {
    if (signal.reason === callerDisconnected) this.countDisconnected(route);
    else if (response.writableEnded) {
      this.count(route, RequestOutcome.answered, String(response.statusCode));
    } else this.count(route, RequestOutcome.cut, noReason);
  }

  /** Counts a request whose caller disconnected before the end. */
  countDisconnected(route: Route | undefined): void {
    this.count(route, RequestOutcome.left, noReason);
  }

  /** Counts a request that ended with a failure. */
  countFailed(route: Route | undefined, failure: Failure): void {
    const reason = failure instanceof Refusal ? failure.reason : failure.type;
    const isRefused = failure.execution === Execution.notRun && failure.retryAfterMs !== undefined;
    this.count(route, isRefused ? RequestOutcome.refused : RequestOutcome.failed, reason);
  }

  private count(route: Route | undefined, outcome: RequestOutcome, reason: string): void {
    this.metrics.count('requests', { route: route?.name ?? noRoute, outcome, reason });
  }
}
