import type { Random } from '@laburnumstream/common';
import { expectedMs } from './expectedTime.js';
import type { Demand, PlacementTarget } from './expectedTime.js';

/** A chosen endpoint and the expected time to the response or its first event, in milliseconds. */
export interface Placement<Target extends PlacementTarget> {
  readonly target: Target;
  readonly expectedMs: number;
}

/** Cost of an endpoint in another region, in milliseconds. */
const crossRegionCostMs = 60;
/** Random cost that breaks near-ties, so that entries don't all choose the same endpoint. */
const jitterMs = 15;
/** Cost per millisecond that a request would run past the planned interruption of its endpoint. */
const overrunCostFactor = 0.4;
const maxOverrunCostMs = 250;
/** Cost of a failed attempt, after which the request is retried elsewhere or lost. */
const failureCostMs = 600;

/** Cost of running past the planned interruption of the endpoint, in milliseconds. */
function overrunCost(
  { model, switchAt }: PlacementTarget,
  { answerTokens }: Demand,
  expected: number,
  now: number,
): number {
  if (!model || switchAt === undefined) return 0;
  const endsAt = now + expected + model.generationMs(answerTokens);
  return Math.min(maxOverrunCostMs, Math.max(0, endsAt - switchAt) * overrunCostFactor);
}

/**
 * Chooses the endpoint with the lowest cost: the expected time to the first event plus penalties.
 * `addedCostMs` is a penalty that depends on the request.
 */
export function bestPlacement<Target extends PlacementTarget>(
  targets: readonly Target[],
  demand: Demand,
  now: number,
  random: Random,
  addedCostMs: (target: Target) => number = () => 0,
): Placement<Target> | undefined {
  let best: Placement<Target> | undefined;
  let bestCost = Infinity;
  targets.forEach((target) => {
    const expected = expectedMs(target, demand, now);
    const regionCost = target.isLocal ? 0 : crossRegionCostMs;
    const overrun = overrunCost(target, demand, expected, now);
    const failureCost = target.health.failureRate(now) * failureCostMs;
    const penalties = regionCost + overrun + failureCost + addedCostMs(target);
    const cost = expected + penalties + random.next() * jitterMs;
    if (cost >= bestCost) return;
    bestCost = cost;
    best = { target, expectedMs: expected };
  });
  return best;
}
