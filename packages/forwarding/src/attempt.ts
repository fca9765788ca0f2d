import type { Execution } from '@laburnumstream/common';
import type { CallFault, EndpointCall } from './endpointCall.js';
import type { EndpointHandle } from './endpointHandle.js';

/** One send of a request, from its placement to its end. */
export interface Attempt {
  readonly handle: EndpointHandle;
  readonly call: EndpointCall;
  /** The endpoint has read the prompt. */
  markPromptRead(): void;
  /** The endpoint is done with the request. */
  markEnded(): void;
}

/** An attempt that brought no answer to deliver. */
export interface FailedAttempt {
  readonly attempt: Attempt;
  readonly execution: Execution;
  /** Undefined when the endpoint answered. */
  readonly fault: CallFault | undefined;
  readonly reason: string;
}
