import type { EndpointHandle } from '../endpoints/endpointHandle.js';
import type { Refusal } from '../callers/refusal.js';
import type { PlacementRequest } from './placementRequest.js';

/** Is told what becomes of the requests of a service. */
export interface DemandObserver {
  recordArrival(request: PlacementRequest, now: number): void;
  recordPlacement(request: PlacementRequest, isInTime: boolean, now: number): void;
  recordRefusal(request: PlacementRequest, now: number): void;
}

/** Keeps places at endpoints free for more urgent requests. */
export interface PlaceReserve {
  /** Whether a request may take a place at an endpoint now. */
  admits(request: PlacementRequest, target: EndpointHandle, now: number): boolean;
}

/** Decisions that the queue leaves to others. */
export interface DispatchPolicies {
  /** Returns the refusal of a request that may not be sent any more because this process stops. */
  readonly findStopRefusal: (deadlineAt: number) => Refusal | undefined;
  /** Whether adaptive admission applies to a service. */
  readonly isAdaptive: (service: string) => boolean;
  /** Whether requests of a service wait for endpoints that are expected to recover. */
  readonly waitsForRecovery: (service: string) => boolean;
  readonly demand: DemandObserver;
  readonly reserve: PlaceReserve;
}

/** Policies that admit each request and observe nothing. */
export const openPolicies: DispatchPolicies = {
  findStopRefusal: () => undefined,
  isAdaptive: () => false,
  waitsForRecovery: () => false,
  demand: {
    recordArrival: () => undefined,
    recordPlacement: () => undefined,
    recordRefusal: () => undefined,
  },
  reserve: { admits: () => true },
};
