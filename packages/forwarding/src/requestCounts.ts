import { Execution } from '@laburnumstream/common';
import type { Failure, Metrics, Route } from '@laburnumstream/common';
import { callerDisconnected } from './exchange.js';
import type { Exchange } from './exchange.js';
import { Refusal } from './refusal.js';

/** How a request ended for its caller. */
export const RequestOutcome = {
  /** It got the whole answer of an endpoint. */
  answered: 'answered',
  /** It was not run, and its caller was told so. */
  refused: 'refused',
  /** It may have run, or cannot be served. */
  failed: 'failed',
  /** It got a part of an answer. */
  cut: 'cut',
  /** Its caller left before the end. */
  left: 'left',
} as const;

/** One of the values of {@link RequestOutcome}. */
export type RequestOutcome = (typeof RequestOutcome)[keyof typeof RequestOutcome];

/** The reason of a request that ended as it began: by what its caller or its endpoint did. */
const noReason = 'none';
const noRoute = 'none';

/** Counts callers' requests by route, outcome and reason. */
export class RequestCounter {
  constructor(private readonly metrics: Metrics) {}

  /** The forwarding of a request has ended, with an answer or a part of one. */
  countForwarded({ route, response, signal }: Exchange): void {
    if (signal.reason === callerDisconnected) this.countDisconnected(route);
    else if (response.writableEnded) {
      this.count(route, RequestOutcome.answered, String(response.statusCode));
    } else this.count(route, RequestOutcome.cut, noReason);
  }

  /** The caller left before the end. */
  countDisconnected(route: Route | undefined): void {
    this.count(route, RequestOutcome.left, noReason);
  }

  /** The caller was told of a failure. */
  countFailed(route: Route | undefined, failure: Failure): void {
    const reason = failure instanceof Refusal ? failure.reason : failure.type;
    const isRefused = failure.execution === Execution.notRun && failure.retryAfterMs !== undefined;
    this.count(route, isRefused ? RequestOutcome.refused : RequestOutcome.failed, reason);
  }

  private count(route: Route | undefined, outcome: RequestOutcome, reason: string): void {
    this.metrics.count('requests', { route: route?.name ?? noRoute, outcome, reason });
  }
}
