import { Execution } from '@laburnumstream/common';

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

/** What is done with an answer, and whether the request ran. */
export interface AnswerJudgement {
  readonly use: AnswerUse;
  readonly execution: Execution;
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
    return { use: AnswerUse.discard, execution: Execution.notRun };
  }
  const isSuccess = status >= 200 && status < firstRedirect;
  if (isSuccess) {
    const use = isSigned && !isEncoded ? AnswerUse.deliver : AnswerUse.discard;
    return { use, execution: Execution.unknown };
  }
  // Without the endpoint's word that it did not run the request, a promise would be false.
  if (promises.has(status)) return { use: AnswerUse.discard, execution: Execution.unknown };
  const use = status >= firstServerError ? AnswerUse.deliverIfLast : AnswerUse.deliver;
  return { use, execution: Execution.ran };
}

/** Whether a request may be sent once more after an attempt. */
export function mayRepeat(isRepeatable: boolean, execution: Execution): boolean {
  return isRepeatable || execution === Execution.notRun;
}
