import { Execution } from '@laburnumstream/common';
import { AttemptOutcome } from './endpointHealth.js';

/** What is known of an endpoint's response before its body is read. */
export interface ResponseHead {
  readonly status: number;
  /** Whether the response carries the endpoint's signature. */
  readonly isSigned: boolean;
  /** Whether the endpoint states that it did not run the request. */
  readonly wasNotRun: boolean;
  /** Whether the body has a content encoding, and thus isn't what the endpoint wrote. */
  readonly isEncoded: boolean;
}

/** How a response is handled. */
export const ResponseAction = {
  /** Forward it to the caller unchanged. */
  deliver: 'deliver',
  /** Forward it to the caller if the request can't be retried. */
  deliverIfLast: 'deliverIfLast',
  /** Drop it: a caller must not rely on it. */
  discard: 'discard',
} as const;

/** One of the values of {@link ResponseAction}. */
export type ResponseAction = (typeof ResponseAction)[keyof typeof ResponseAction];

/** How a response is handled, whether the request ran, and how it counts for the endpoint's health. */
export interface ResponseClassification {
  readonly action: ResponseAction;
  readonly execution: Execution;
  readonly outcome: AttemptOutcome;
}

/** Status by which an endpoint says that a request was meant for another one. */
export const misdirectedStatus = 421;
const firstRedirect = 300;
const firstServerError = 500;

/** Statuses by which a caller concludes that its request has not run. */
const notRunStatuses = new Set([408, misdirectedStatus, 429, 503]);

/** Classifies the status and headers of an endpoint's response. */
export function classifyResponse({
  status,
  isSigned,
  wasNotRun,
  isEncoded,
}: ResponseHead): ResponseClassification {
  if (wasNotRun || status === misdirectedStatus) {
    return {
      action: ResponseAction.discard,
      execution: Execution.notRun,
      outcome: AttemptOutcome.refused,
    };
  }
  const isSuccess = status >= 200 && status < firstRedirect;
  if (isSuccess) {
    const isUsable = isSigned && !isEncoded;
    const action = isUsable ? ResponseAction.deliver : ResponseAction.discard;
    const outcome = isUsable ? AttemptOutcome.responded : AttemptOutcome.failed;
    return { action, execution: Execution.unknown, outcome };
  }
  // These statuses tell the caller that the request did not run, which the endpoint has not confirmed.
  if (notRunStatuses.has(status)) {
    return {
      action: ResponseAction.discard,
      execution: Execution.unknown,
      outcome: AttemptOutcome.failed,
    };
  }
  const isError = status >= firstServerError;
  const action = isError ? ResponseAction.deliverIfLast : ResponseAction.deliver;
  const outcome = isError ? AttemptOutcome.serverError : AttemptOutcome.responded;
  return { action, execution: Execution.ran, outcome };
}

/** Whether a request may be sent again after an attempt. */
export function mayRetry(isRetryable: boolean, execution: Execution): boolean {
  return isRetryable || execution === Execution.notRun;
}
