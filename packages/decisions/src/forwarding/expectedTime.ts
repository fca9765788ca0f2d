import type { EndpointHealth } from './endpointHealth.js';
import type { EndpointLoad } from './endpointLoad.js';
import type { EndpointPace } from './endpointPace.js';
import type { EngineMemory } from './engineMemory.js';
import type { EngineModel } from './engineModel.js';
import type { ServiceTime } from './serviceTime.js';

/** An endpoint that a request can be placed on. */
export interface PlacementTarget {
  readonly id: string;
  readonly load: EndpointLoad;
  readonly health: EndpointHealth;
  /** Requests that it runs concurrently. */
  readonly slots: number;
  /** Timing model of an engine; undefined for a plain service. */
  readonly model: EngineModel | undefined;
  /** Whether it is in this entry's region. */
  readonly isLocal: boolean;
  /** Monotonic time of a planned interruption of its service; undefined when none is planned. */
  readonly switchAt: number | undefined;
  /** How long work takes on its instance now; absent where reports alone count. */
  readonly pace?: EndpointPace | undefined;
  /** Learned service time of a plain service; absent where the usual time counts. */
  readonly serviceTime?: ServiceTime | undefined;
  /** Key-value cache of an engine; absent where it is not bounded. */
  readonly memory?: EngineMemory | undefined;
}

/** Size of a request. */
export interface Demand {
  readonly promptTokens: number;
  /** An estimate, often far off. */
  readonly answerTokens: number;
  /** Most tokens that the answer can have; undefined if the caller states none. */
  readonly maxAnswerTokens?: number | undefined;
}

/** Response time of a plain service with free slots, in milliseconds. */
const plainServiceMs = 20;

/** Returns the number of rounds of requests that run before one more request is taken up. */
export function roundsAhead(outstanding: number, slots: number): number {
  return slots > 0 ? Math.max(0, outstanding + 1 - slots) / slots : outstanding;
}

/** Whether an endpoint's memory can hold a request beside the others. */
function fitsMemory(
  { load, memory, isLocal }: PlacementTarget,
  demand: Demand,
  now: number,
): boolean {
  if (!memory) return true;
  const { promptTokens, answerTokens, maxAnswerTokens } = demand;
  // An estimate of 0 means that the caller has stated none.
  const maxOutputTokens = maxAnswerTokens ?? (answerTokens > 0 ? answerTokens : undefined);
  return memory.fits(load, memory.neededTokens({ promptTokens, maxOutputTokens }), isLocal, now);
}

/**
 * Expected time from the sending of a request to its first event, in milliseconds. `counted` is the load that the
 * request itself has in the endpoint's load already.
 */
export function expectedAnswerMs(
  target: PlacementTarget,
  promptTokens: number,
  now: number,
  counted = { requests: 0, unreadMs: 0 },
): number {
  const { load, model, slots, pace, serviceTime } = target;
  const factor = pace?.factor(now) ?? load.slowdown;
  const outstanding = load.outstanding(now, counted.requests);
  if (model) {
    const unreadMs = load.unreadMs(now, counted.unreadMs);
    return factor * model.firstEventMs(outstanding, unreadMs, promptTokens);
  }
  const serviceMs = serviceTime?.meanMs(now) ?? plainServiceMs;
  return factor * serviceMs * (1 + roundsAhead(outstanding, slots)) + outstanding;
}

/** Expected time to the first event of a request at an endpoint, in milliseconds; infinite where it does not fit. */
export function expectedMs(target: PlacementTarget, demand: Demand, now: number): number {
  if (!fitsMemory(target, demand, now)) return Infinity;
  return expectedAnswerMs(target, demand.promptTokens, now);
}
