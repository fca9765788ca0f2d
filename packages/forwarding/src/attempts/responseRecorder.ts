import type { Log, Metrics } from '@laburnumstream/common';
import { misdirectedStatus } from '@laburnumstream/decisions';
import { isSuccess } from '../endpoints/endpointCall.js';
import type { EndpointDirectory } from '../endpoints/endpointDirectory.js';
import type { EndpointHandle } from '../endpoints/endpointHandle.js';
import type { ResponseHead } from '../callers/heads.js';
import type { StatementRecorder } from '../endpoints/statementRecorder.js';

/** Longest part of an id in an endpoint's response that is logged, in characters. */
const maxLoggedIdLength = 64;

/** What recording a response needs. */
export interface ResponseServices {
  /** Called with the requests per second that a response names as the endpoint's limit, if any. */
  readonly onNamedLimit: (endpoint: EndpointHandle, perSecond: number | undefined) => void;
  readonly statements: StatementRecorder;
  readonly directory: Pick<EndpointDirectory, 'recordMisdirection'>;
  readonly metrics: Metrics;
  readonly log: Log;
}

/** Records what an endpoint says of itself with a response. */
export function recordHead(
  { statements, onNamedLimit, directory }: ResponseServices,
  handle: EndpointHandle,
  status: number,
  head: ResponseHead,
): void {
  // Another endpoint at the address responds so, or an engine without weights.
  if (status === misdirectedStatus) {
    directory.recordMisdirection(handle);
    return;
  }
  statements.record(handle, status, head);
  const { maxRequestsPerSecond } = head;
  // A refusal without a limit does not tell that the limit has ended.
  if (maxRequestsPerSecond === undefined && !isSuccess(status)) return;
  onNamedLimit(handle, maxRequestsPerSecond);
}

/** Records that an endpoint sent a response to another request, which was dropped. */
export function recordForeignResponse(
  { metrics, log }: ResponseServices,
  handle: EndpointHandle,
  requestId: string,
  responseId: string,
): void {
  metrics.count('responses_foreign');
  log.info('Response to another request dropped.', {
    id: requestId,
    endpoint: handle.id,
    responseId: responseId.slice(0, maxLoggedIdLength),
  });
}
