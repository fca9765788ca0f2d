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
