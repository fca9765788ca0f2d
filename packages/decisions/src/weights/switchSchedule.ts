import { rendezvousOrder } from '@laburnumstream/common';
import type { WeightMember } from './topology.js';

/** What decides when one engine leaves its old weights for a newer version. */
export interface SwitchPlan {
  /** Time since the newer version was named, in milliseconds. */
  readonly namedMsAgo: number;
  /** Time since the first version after the served one was named, in milliseconds. */
  readonly outdatedMs: number;
  /** Time after a naming at which no request may begin on an older version, in milliseconds. */
  readonly graceMs: number;
  /** Place of the engine among those of its data centre, from 0 to 1. */
  readonly place: number;
}

/** Time before the end of the grace at which the last engine begins to switch, in milliseconds. */
const marginMs = 950;
/** Time after the naming at which the first engine begins to switch, in milliseconds. */
const earliestMs = 4_000;

/**
 * Time until an engine begins to switch, in milliseconds. Engines switch one after the other over the
 * time that is left, so that most of them serve at any moment; nobody has to be asked for that.
 */
export function switchDelayMsOf(plan: SwitchPlan): number {
  const { namedMsAgo, outdatedMs, graceMs, place } = plan;
  const latestMs = Math.max(0, graceMs - marginMs);
  const firstMs = Math.min(earliestMs, latestMs);
  const ownMs = firstMs + (latestMs - firstMs) * place - namedMsAgo;
  return Math.max(0, Math.min(ownMs, latestMs - outdatedMs));
}

/** What decides whether a version is still fetched although a newer one was named. */
export interface UnfinishedVersion {
  /** Part of its pieces that are here. */
  readonly progress: number;
  /** Time since the first newer version was named, in milliseconds. */
  readonly outdatedMs: number;
  /** Time after a naming at which no request may begin on an older version, in milliseconds. */
  readonly graceMs: number;
  readonly loadMs: number;
}

/** Part of a version below which it is given up for a newer one. */
const leastProgress = 0.3;
/** Usual time of a whole fetch, in milliseconds. */
const wholeFetchMs = 4_500;
/** Time for which a version has to serve to be worth its switch, in milliseconds. */
const leastUseMs = 2_000;

/** Whether a version would still serve for a while if it were fetched to its end. */
export function isWorthFinishing(version: UnfinishedVersion): boolean {
  const { progress, outdatedMs, graceMs, loadMs } = version;
  const remainingMs = (1 - progress) * wholeFetchMs + loadMs;
  return progress >= leastProgress && graceMs - outdatedMs - remainingMs >= leastUseMs;
}

/** Place of a member among those of its data centre that switch to a version, from 0 to 1. */
export function switchPlace(
  self: WeightMember,
  version: number,
  members: readonly WeightMember[],
): number {
  const near = members.filter(({ dataCentre }) => dataCentre === self.dataCentre);
  const order = rendezvousOrder(`switch ${version}`, near, ({ name }) => name);
  const rank = order.findIndex(({ name }) => name === self.name);
  return near.length > 1 ? Math.max(0, rank) / (near.length - 1) : 0;
}
