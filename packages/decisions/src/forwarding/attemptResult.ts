import { Execution } from '@laburnumstream/common';
import { AttemptSign } from './endpointHealth.js';

/** What an endpoint's answer says before its body counts. */
export interface AnswerFacts {
  readonly status: number;
  /** Whether the endpoint vouches for the answer. */
  readonly isSigned: boolean;
  /** Whether the endpoint says that it did not run the request. */
  readonly wasNotRun: boolean;
  /** Whether the body is encoded, so that it is not the endpoint's. */
  readonly isEncoded: boolean;
}

/** What is done with an endpoint's answer. */
export const AnswerUse = {
  /** It goes to the caller as it is. */
  deliver: 'deliver',
  /** It goes to the caller if the request can't be repeated. */
  deliverIfLast: 'deliverIfLast',
  /** It says nothing that a caller may rely on. */
  discard: 'discard',
} as const;

/** One of the values of {@link AnswerUse}. */
export type AnswerUse = (typeof AnswerUse)[keyof typeof AnswerUse];

/** What is done with an answer, whether the request ran, and what that tells of the endpoint. */
export interface AnswerJudgement {
  readonly use: AnswerUse;
  readonly execution: Execution;
  readonly sign: AttemptSign;
}

const misdirected = 421;
const firstRedirect = 300;
const firstServerError = 500;

/** Statuses that promise a caller that its request has not run. */
const promises = new Set([408, misdirected, 429, 503]);

/** Judges the head of an endpoint's answer. */
export function judgeAnswer({
  status,
  isSigned,
  wasNotRun,
  isEncoded,
}: AnswerFacts): AnswerJudgement {
  if (wasNotRun || status === misdirected) {
    return {
      use: AnswerUse.discard,
      execution: Execution.notRun,
      sign: AttemptSign.refused,
    };
  }
  const isSuccess = status >= 200 && status < firstRedirect;
  if (isSuccess) {
    const isUsable = isSigned && !isEncoded;
    const use = isUsable ? AnswerUse.deliver : AnswerUse.discard;
    const sign = isUsable ? AttemptSign.answered : AttemptSign.failed;
    return { use, execution: Execution.unknown, sign };
  }
  // Without the endpoint's word that it did not run the request, a promise would be false.
  if (promises.has(status)) {
    return { use: AnswerUse.discard, execution: Execution.unknown, sign: AttemptSign.failed };
  }
  const isError = status >= firstServerError;
  const use = isError ? AnswerUse.deliverIfLast : AnswerUse.deliver;
  const sign = isError ? AttemptSign.erred : AttemptSign.answered;
  return { use, execution: Execution.ran, sign };
}

/** Whether a request may be sent once more after an attempt. */
export function mayRepeat(isRepeatable: boolean, execution: Execution): boolean {
  return isRepeatable || execution === Execution.notRun;
}
