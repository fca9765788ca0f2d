import type { Clock } from '@laburnumstream/common';
import type { ResponseMemory, SharedRetryBudget } from '@laburnumstream/decisions';
import type { CrashGuard } from '../crashes/crashGuard.js';
import type { EndpointDirectory } from '../endpoints/endpointDirectory.js';
import type { EndpointHandle } from '../endpoints/endpointHandle.js';
import type { AdaptiveServices } from '../placement/adaptiveServices.js';
import type { DispatchQueue } from '../placement/dispatchQueue.js';
import type { HeaderCodec } from '../callers/headerCodec.js';
import type { ResponseServices } from './responseRecorder.js';
import type { WaitingCalls } from './waitingCalls.js';

/** Services that all requests share. */
export interface AttemptServices extends ResponseServices {
  readonly queue: DispatchQueue;
  readonly directory: EndpointDirectory;
  readonly guard: CrashGuard;
  readonly budget: SharedRetryBudget;
  /** Called when this entry's load at an endpoint has changed. */
  readonly onLoadChange: (endpoint: EndpointHandle) => void;
  readonly waitingCalls: WaitingCalls;
  /** The services to which adaptive admission applies. */
  readonly adaptive: AdaptiveServices;
  /** Memory for responses that are not complete yet, of requests of all kinds. */
  readonly memory: ResponseMemory;
  readonly codec: HeaderCodec;
  readonly clock: Clock;
}
