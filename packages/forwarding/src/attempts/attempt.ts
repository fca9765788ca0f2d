import type { Execution } from '@laburnumstream/common';
import type { CallFault, EndpointCall } from '../endpoints/endpointCall.js';
import type { EndpointHandle } from '../endpoints/endpointHandle.js';

/** One send of a request, from its placement to its end. */
export interface Attempt {
  readonly handle: EndpointHandle;
  readonly call: EndpointCall;
  /** Records that the endpoint has processed the prompt. */
  markPrefilled(): void;
  /** Records that the endpoint has finished the request. */
  markEnded(): void;
}

/** An attempt without a response to deliver. */
export interface FailedAttempt {
  readonly attempt: Attempt;
  readonly execution: Execution;
  /** Undefined if the endpoint responded. */
  readonly fault: CallFault | undefined;
  readonly reason: string;
}
