import type { EndpointHealth } from './endpointHealth.js';
import type { EndpointLoad } from './endpointLoad.js';
import type { EngineModel } from './engineModel.js';

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
}

/** Size of a request. */
export interface Demand {
  readonly promptTokens: number;
  /** An estimate, often far off. */
  readonly answerTokens: number;
}

/** Response time of a plain service with free slots, in milliseconds. */
const plainServiceMs = 20;

/** Expected time to the first event of a request at an endpoint, in milliseconds. */
export function expectedMs(target: PlacementTarget, { promptTokens }: Demand, now: number): number {
  const { load, model, slots } = target;
  const outstanding = load.outstanding(now);
  if (model)
    return load.slowdown * model.firstEventMs(outstanding, load.unreadMs(now), promptTokens);
  const ahead = slots > 0 ? Math.max(0, outstanding + 1 - slots) / slots : outstanding;
  return load.slowdown * plainServiceMs * (1 + ahead) + outstanding;
}
