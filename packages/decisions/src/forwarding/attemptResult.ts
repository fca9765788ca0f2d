import { Execution } from '@laburnumstream/common';
import { AttemptOutcome } from './endpointHealth.js';

/** What an endpoint's answer says before its body counts. */
export interface ResponseHead {
  readonly status: number;
  /** Whether the endpoint vouches for the answer. */
  readonly isSigned: boolean;
  /** Whether the endpoint says that it did not run the request. */
  readonly wasNotRun: boolean;
  /** Whether the body is encoded, so that it is not the endpoint's. */
  readonly isEncoded: boolean;
}

/** What is done with an endpoint's answer. */
export const ResponseAction = {
  /** It goes to the caller as it is. */
  deliver: 'deliver',
  /** It goes to the caller if the request can't be repeated. */
  deliverIfLast: 'deliverIfLast',
  /** It says nothing that a caller may rely on. */
  discard: 'discard',
} as const;

/** One of the values of {@link ResponseAction}. */
export type ResponseAction = (typeof ResponseAction)[keyof typeof ResponseAction];

/** What is done with an answer, whether the request ran, and what that tells of the endpoint. */
export interface ResponseClassification {
  readonly action: ResponseAction;
  readonly execution: Execution;
  readonly outcome: AttemptOutcome;
}

const misdirected = 421;
const firstRedirect = 300;
const firstServerError = 500;

/** Statuses that promise a caller that its request has not run. */
const promises = new Set([408, misdirected, 429, 503]);

/** Judges the head of an endpoint's answer. */
export function classifyResponse({
  status,
  isSigned,
  wasNotRun,
  isEncoded,
}: ResponseHead): ResponseClassification {
  if (wasNotRun || status === misdirected) {
    return {
      action: ResponseAction.discard,
      execution: Execution.notRun,
      outcome: AttemptOutcome.refused,
    };
  }
  const isSuccess = status >= 200 && status < firstRedirect;
  if (isSuccess) {
    const isUsable = isSigned && !isEncoded;
    const use = isUsable ? ResponseAction.deliver : ResponseAction.discard;
    const sign = isUsable ? AttemptOutcome.answered : AttemptOutcome.failed;
    return { action: use, execution: Execution.unknown, outcome: sign };
  }
  // Without the endpoint's word that it did not run the request, a promise would be false.
  if (promises.has(status)) {
    return {
      action: ResponseAction.discard,
      execution: Execution.unknown,
      outcome: AttemptOutcome.failed,
    };
  }
  const isError = status >= firstServerError;
  const use = isError ? ResponseAction.deliverIfLast : ResponseAction.deliver;
  const sign = isError ? AttemptOutcome.erred : AttemptOutcome.answered;
  return { action: use, execution: Execution.ran, outcome: sign };
}

/** Whether a request may be sent once more after an attempt. */
export function mayRetry(isRepeatable: boolean, execution: Execution): boolean {
  return isRepeatable || execution === Execution.notRun;
}
