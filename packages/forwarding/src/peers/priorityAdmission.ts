import { hash32 } from '@laburnumstream/common';
import { RequestStage, reservedPlaces } from '@laburnumstream/decisions';
import { engineQueueLimits } from '../endpoints/endpointHandle.js';
import type { EndpointHandle } from '../endpoints/endpointHandle.js';
import type { DemandObserver, PlaceReserve } from '../placement/dispatchPolicies.js';
import type { PlacementRequest } from '../placement/placementRequest.js';
import type { ServiceDemands } from './serviceDemands.js';

const hashRange = 2 ** 32;

/** Stages of requests whose callers have received a part of the response, and are owed the rest. */
const begunStages: ReadonlySet<RequestStage> = new Set([RequestStage.begun, RequestStage.moving]);

/** Whether an endpoint has a place that is not reserved, where `part` of its places is. */
function hasUnreservedPlace(target: EndpointHandle, part: number, now: number): boolean {
  const { id, load, model, slots } = target;
  const { spare, unreadMs } = engineQueueLimits;
  const places = model ? slots + spare : slots;
  const reserved = reservedPlaces(part, places, hash32(id) / hashRange);
  if (load.outstanding(now) + reserved >= places) return false;
  return !model || load.unreadMs(now) < unreadMs * (1 - part);
}

/** Counts the results of requests, and keeps places free for the more urgent ones of a service. */
export class PriorityAdmission implements DemandObserver, PlaceReserve {
  constructor(private readonly demands: ServiceDemands) {}

  recordArrival({ service, priority, stage }: PlacementRequest, now: number): void {
    const state = this.demands.get(service);
    // Only the first placement of a request tells how many are served.
    if (!state || stage !== RequestStage.fresh) return;
    state.window.record(priority, 'arrived', now);
    state.floor.recordArrival(priority, state.served);
  }

  recordPlacement(
    { service, priority, stage }: PlacementRequest,
    isInTime: boolean,
    now: number,
  ): void {
    const state = this.demands.get(service);
    if (!state || begunStages.has(stage)) return;
    state.floor.recordPlacement(priority);
    if (stage === RequestStage.fresh)
      state.window.record(priority, isInTime ? 'placedInTime' : 'placedLate', now);
  }

  recordRefusal({ service, priority, stage }: PlacementRequest, now: number): void {
    if (stage === RequestStage.fresh)
      this.demands.get(service)?.window.record(priority, 'refused', now);
  }

  admits(
    { service, priority, stage }: PlacementRequest,
    target: EndpointHandle,
    now: number,
  ): boolean {
    const state = this.demands.get(service);
    if (!state || begunStages.has(stage)) return true;
    // Entries of other regions use their part of its room, within which their queues put urgent requests first.
    const part = state.reserve(target.region).partFor(priority);
    return part === 0 || state.floor.covers(priority) || hasUnreservedPlace(target, part, now);
  }
}
