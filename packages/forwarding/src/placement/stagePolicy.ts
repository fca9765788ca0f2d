import { RequestStage } from '@laburnumstream/decisions';
import type { Placement } from '@laburnumstream/decisions';
import type { PlacementRequest } from './placementRequest.js';
import type { EndpointHandle } from '../endpoints/endpointHandle.js';
import { WaitEnd } from '../callers/waitEnd.js';

/** What is expected of the wait of one request. */
export interface WaitFacts {
  readonly now: number;
  /** Expected time at which it is sent, from the requests ahead of it and the rate of the last second. */
  readonly startAt: number;
  /** Whether an endpoint could serve it by a time if it had free capacity. */
  canServe(latestAt: number): boolean;
  /** Whether no endpoint serves now, though some are expected to. */
  isOut(): boolean;
  /** Time at which endpoints that are expected to serve again send it; infinite if none is. */
  recoveryTurnAt(): number;
  /** Whether it may wait past its goal while endpoints serve. */
  mayBeLate(): boolean;
  /** Time at which a place is left for it that those in time do not need; infinite if none is expected. */
  lateTurnAt(): number;
}

/** What a request may use, and how long it may wait, at one stage. */
interface StagePolicy {
  /** Whether it is placed on the best endpoint, where it would or would not start in time. */
  accepts(
    request: PlacementRequest,
    best: Placement<EndpointHandle>,
    isInTime: boolean,
    now: number,
  ): boolean;
  /** Why it can't wait to be sent; undefined if it can. */
  findWaitEnd(request: PlacementRequest, facts: WaitFacts): WaitEnd | undefined;
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
  { now, startAt, canServe }: WaitFacts,
): WaitEnd | undefined {
  if (!canServe(startBy)) return WaitEnd.noEndpoint;
  if (startAt <= startBy) return undefined;
  return now > startBy ? WaitEnd.goalPassed : WaitEnd.expectedWait;
}

/**
 * Returns why a request can't wait past its goal; undefined if it can. `goalEnd` is why it can't meet the goal. It waits
 * if it can be served by its deadline: by endpoints that are expected to recover while none serves, or else in a place
 * that is left for late requests.
 */
function findLateEnd(
  { latestStartAt, deadlineAt }: PlacementRequest,
  goalEnd: WaitEnd | undefined,
  facts: WaitFacts,
): WaitEnd | undefined {
  if (goalEnd === undefined) return undefined;
  const latestAt = latestStartAt ?? deadlineAt;
  if (facts.isOut() || goalEnd === WaitEnd.noEndpoint) {
    if (facts.recoveryTurnAt() <= latestAt) return undefined;
    return goalEnd === WaitEnd.noEndpoint ? goalEnd : WaitEnd.expectedRecovery;
  }
  return facts.mayBeLate() && facts.lateTurnAt() <= latestAt ? undefined : goalEnd;
}

/** Policy of each stage. */
export const stagePolicies: Readonly<Record<RequestStage, StagePolicy>> = {
  [RequestStage.fresh]: {
    accepts: ({ startBy }, { target }, isInTime, now) =>
      isInTime || (now > startBy && hasUnreservedSlot(target, now)),
    findWaitEnd: (request, facts) => findLateEnd(request, findGoalEnd(request, facts), facts),
  },
  [RequestStage.callerRetry]: {
    accepts: (_request, { target }, _isInTime, now) => hasUnreservedSlot(target, now),
    findWaitEnd(request, facts) {
      const latestAt = request.arrivedAt + maxCallerRetryWaitMs;
      if (!facts.canServe(latestAt)) return findLateEnd(request, WaitEnd.noEndpoint, facts);
      if (facts.startAt < latestAt) return undefined;
      return findLateEnd(request, WaitEnd.callerRetryWait, facts);
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
