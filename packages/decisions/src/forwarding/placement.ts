import type { Random } from '@laburnumstream/common';
import { expectedMs } from './expectedTime.js';
import type { Demand, PlacementTarget } from './expectedTime.js';

/** A chosen endpoint and the expected time to the response or its first event, in milliseconds. */
export interface Placement<Target extends PlacementTarget> {
  readonly target: Target;
  readonly expectedMs: number;
}

/** An endpoint, and how far it is. */
export interface DistantTarget extends PlacementTarget {
  /** One-way delay of the path to its region, in milliseconds; undefined if it is not known. */
  readonly pathDelayMs?: number | undefined;
}

/** Cost of an endpoint in another region if the delay of the path is not known, in milliseconds. */
const unknownPathCostMs = 60;
/**
 * Cost of the bytes that a request moves between regions, in milliseconds. It exceeds the random cost, so
 * that a request leaves its region only where it is served noticeably sooner.
 */
const transferCostMs = 20;
/** Random cost that breaks near-ties, so that entries don't all choose the same endpoint. */
const jitterMs = 15;
/** Cost per millisecond that a request would run past the planned interruption of its endpoint. */
const overrunCostFactor = 0.4;
const maxOverrunCostMs = 250;
/** Cost of a failed attempt, after which the request is retried elsewhere or lost. */
const failureCostMs = 600;

/** Time on the path to an endpoint and back, in milliseconds. */
function pathMs({ isLocal, pathDelayMs = 0 }: DistantTarget): number {
  return isLocal ? 0 : 2 * pathDelayMs;
}

/** Cost of leaving the region beyond that time, in milliseconds. */
function leavingCost({ isLocal, pathDelayMs }: DistantTarget): number {
  if (isLocal) return 0;
  return pathDelayMs === undefined ? unknownPathCostMs : transferCostMs;
}

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
export function bestPlacement<Target extends DistantTarget>(
  targets: readonly Target[],
  demand: Demand,
  now: number,
  random: Random,
  addedCostMs: (target: Target) => number = () => 0,
): Placement<Target> | undefined {
  let best: Placement<Target> | undefined;
  let bestCost = Infinity;
  targets.forEach((target) => {
    const expected = expectedMs(target, demand, now) + pathMs(target);
    const overrun = overrunCost(target, demand, expected, now);
    const failureCost = target.health.failureRate(now) * failureCostMs;
    const penalties = leavingCost(target) + overrun + failureCost + addedCostMs(target);
    const cost = expected + penalties + random.next() * jitterMs;
    if (cost >= bestCost) return;
    bestCost = cost;
    best = { target, expectedMs: expected };
  });
  return best;
}
