import type { Random } from '@laburnumstream/common';
import type { EndpointHealth } from './endpointHealth.js';
import type { EndpointLoad } from './endpointLoad.js';
import type { EngineModel } from './engineModel.js';

/** An endpoint among which a request is placed. */
export interface PlacementTarget {
  readonly id: string;
  readonly load: EndpointLoad;
  readonly health: EndpointHealth;
  /** Requests that it runs at once. */
  readonly slots: number;
  /** Timing of a model engine; undefined for a plain service. */
  readonly model: EngineModel | undefined;
  /** Whether it stands in this entry's region. */
  readonly isLocal: boolean;
  /** Monotonic time at which it is to stop serving for a while; undefined when it is not. */
  readonly switchAt: number | undefined;
}

/** What a request asks of an endpoint. */
export interface Demand {
  readonly promptTokens: number;
  /** Estimate, often far off. */
  readonly answerTokens: number;
}

/** An endpoint for a request and the time until its answer or first event, in milliseconds. */
export interface Placement<Target extends PlacementTarget> {
  readonly target: Target;
  readonly expectedMs: number;
}

/** Time by which an endpoint of another region must be better to be preferred, in milliseconds. */
const farMs = 60;
/** Estimates that differ by less than this are equal, so that entries do not all choose one. */
const jitterMs = 15;
/** Cost of each millisecond that a request would outlast its endpoint's service. */
const overrunShare = 0.4;
const mostOverrunMs = 250;
/** Cost of an attempt that fails: the request goes on elsewhere or is lost. */
const failureMs = 600;
/** Time of a plain service's answer when all its slots are free, in milliseconds. */
const plainMs = 20;

/** Time until the first event of a request at an endpoint, in milliseconds. */
export function expectedMs(target: PlacementTarget, { promptTokens }: Demand, now: number): number {
  const { load, model, slots } = target;
  const occupied = load.outstanding(now);
  if (model) return load.slowdown * model.firstEventMs(occupied, load.unreadMs(now), promptTokens);
  const ahead = slots > 0 ? Math.max(0, occupied + 1 - slots) / slots : occupied;
  return load.slowdown * plainMs * (1 + ahead) + occupied;
}

/** Cost of a request that would outlast its endpoint's service, in milliseconds. */
function overrunCost(
  { model, switchAt }: PlacementTarget,
  { answerTokens }: Demand,
  expected: number,
  now: number,
): number {
  if (!model || switchAt === undefined) return 0;
  const endsAt = now + expected + model.generationMs(answerTokens);
  return Math.min(mostOverrunMs, Math.max(0, endsAt - switchAt) * overrunShare);
}

/** The endpoint with the shortest time until the first event; near ones are preferred. */
export function bestPlacement<Target extends PlacementTarget>(
  targets: readonly Target[],
  demand: Demand,
  now: number,
  random: Random,
): Placement<Target> | undefined {
  let best: Placement<Target> | undefined;
  let bestCost = Infinity;
  targets.forEach((target) => {
    const expected = expectedMs(target, demand, now);
    const nearness = target.isLocal ? 0 : farMs;
    const overrun = overrunCost(target, demand, expected, now);
    const failing = target.health.failureRate(now) * failureMs;
    const cost = expected + nearness + overrun + failing + random.next() * jitterMs;
    if (cost >= bestCost) return;
    bestCost = cost;
    best = { target, expectedMs: expected };
  });
  return best;
}
