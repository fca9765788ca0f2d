import { toFailure } from '@laburnumstream/common';
import type { Failure } from '@laburnumstream/common';
import type { EndpointGate } from './endpointGate.js';

/** Whether a failure means that the connection to the endpoint broke or that it lost its state. */
function indicatesRestart(failure: Failure): boolean {
  return failure.type === 'unavailable' || failure.cause !== undefined;
}

/** Marks the gate as cold when a failure that the caller did not cause may mean a restart. */
export function markColdAfterFailure(
  gate: EndpointGate,
  error: unknown,
  signal: AbortSignal,
): void {
  if (!signal.aborted && indicatesRestart(toFailure(error))) gate.markCold('connection');
}
