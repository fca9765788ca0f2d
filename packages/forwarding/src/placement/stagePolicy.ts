import { RequestStage } from '@laburnumstream/decisions';
import type { Placement } from '@laburnumstream/decisions';
import type { PlacementRequest } from './placementRequest.js';
import type { EndpointHandle } from '../endpoints/endpointHandle.js';
import { WaitEnd } from '../callers/waitEnd.js';

/** What a request may use, and how long it may wait, at one stage. */
interface StagePolicy {
  /** Whether it is placed on the best endpoint, where it would or would not start in time. */
  accepts(
    request: PlacementRequest,
    best: Placement<EndpointHandle>,
    isInTime: boolean,
    now: number,
  ): boolean;
  /** Why it can't wait to be sent at `startAt`; undefined if it can. */
  findWaitEnd(
    request: PlacementRequest,
    now: number,
    startAt: number,
    canServe: (latestAt: number) => boolean,
  ): WaitEnd | undefined;
}

/** Longest time in the queue of a request that its caller retries after a refusal, in milliseconds. */
const maxCallerRetryWaitMs = 300;
/**
 * Share of an endpoint's slots that is reserved for requests that can still meet their goal: under load,
 * each slot that a late request takes is missing for one of them.
 */
const reservedSlotShare = 0.2;

/** Whether a late request may use a slot of an endpoint. */
function hasUnreservedSlot({ load, slots }: EndpointHandle, now: number): boolean {
  return load.outstanding(now) < slots - Math.ceil(slots * reservedSlotShare);
}

function findGoalEnd(
  { startBy }: PlacementRequest,
  now: number,
  startAt: number,
  canServe: (latestAt: number) => boolean,
): WaitEnd | undefined {
  if (!canServe(startBy)) return WaitEnd.noEndpoint;
  if (startAt <= startBy) return undefined;
  return now > startBy ? WaitEnd.goalPassed : WaitEnd.expectedWait;
}

/** Policy of each stage. */
export const stagePolicies: Readonly<Record<RequestStage, StagePolicy>> = {
  [RequestStage.fresh]: {
    accepts: ({ startBy }, { target }, isInTime, now) =>
      isInTime || (now > startBy && hasUnreservedSlot(target, now)),
    findWaitEnd: findGoalEnd,
  },
  [RequestStage.callerRetry]: {
    accepts: (_request, { target }, _isInTime, now) => hasUnreservedSlot(target, now),
    findWaitEnd({ arrivedAt }, _now, startAt, canServe) {
      const latestAt = arrivedAt + maxCallerRetryWaitMs;
      if (!canServe(latestAt)) return WaitEnd.noEndpoint;
      return startAt < latestAt ? undefined : WaitEnd.callerRetryWait;
    },
  },
  [RequestStage.begun]: {
    accepts: () => true,
    // Its deadline aborts the wait; until then an endpoint may come back or become free.
    findWaitEnd: () => undefined,
  },
  [RequestStage.moving]: {
    // Where it runs it makes progress; in the queue of another endpoint it would not.
    accepts: (_request, { target }, isInTime, now) =>
      isInTime && target.load.outstanding(now) < target.slots,
    findWaitEnd: findGoalEnd,
  },
};
