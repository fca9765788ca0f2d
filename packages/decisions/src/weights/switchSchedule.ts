import { rendezvousOrder } from '@laburnumstream/common';
import type { WeightMember } from './weightMember.js';

/** Inputs that determine when one engine switches to a newer version. */
export interface SwitchTiming {
  /** Time since the newer version was named in the configuration, in milliseconds. */
  readonly namedMsAgo: number;
  /** Time since the first version newer than the served one was named, in milliseconds. */
  readonly outdatedMs: number;
  /**
   * Time after a version is named from which no request may start on an older one, in milliseconds.
   */
  readonly graceMs: number;
  /** Position of the engine in the switch order of its data centre, from 0 to 1. */
  readonly position: number;
}

/** Time before the end of the grace period at which the last engine switches, in milliseconds. */
const graceMarginMs = 950;
/** Time after the version is named at which the first engine switches, in milliseconds. */
const firstSwitchMs = 4_000;

/**
 * Time until an engine starts to switch, in milliseconds. Switches are spread evenly over the grace
 * period, so that most engines serve at any moment without coordination.
 */
export function computeSwitchDelayMs(timing: SwitchTiming): number {
  const { namedMsAgo, outdatedMs, graceMs, position } = timing;
  const latestMs = Math.max(0, graceMs - graceMarginMs);
  const firstMs = Math.min(firstSwitchMs, latestMs);
  const scheduledMs = firstMs + (latestMs - firstMs) * position - namedMsAgo;
  return Math.max(0, Math.min(scheduledMs, latestMs - outdatedMs));
}

/** Inputs that determine whether a fetch continues although a newer version has been named. */
export interface IncompleteVersion {
  /** Fraction of its chunks that are held. */
  readonly progress: number;
  /** Time since the first version newer than this one was named, in milliseconds. */
  readonly outdatedMs: number;
  /**
   * Time after a version is named from which no request may start on an older one, in milliseconds.
   */
  readonly graceMs: number;
  /** Time that the engine takes to load the version, in milliseconds. */
  readonly loadMs: number;
}

/** Fraction of a version below which its fetch is abandoned for a newer one. */
const minProgress = 0.3;
/** Typical duration of a complete fetch, in milliseconds. */
const typicalFetchMs = 4_500;
/** Minimum time that a version must be able to serve to justify the switch, in milliseconds. */
const minServingMs = 2_000;

/** Whether a version, fetched to the end, could still serve long enough. */
export function isWorthFinishing(version: IncompleteVersion): boolean {
  const { progress, outdatedMs, graceMs, loadMs } = version;
  const remainingMs = (1 - progress) * typicalFetchMs + loadMs;
  return progress >= minProgress && graceMs - outdatedMs - remainingMs >= minServingMs;
}

/** Position of a member in its data centre's switch order for a version, from 0 to 1. */
export function switchPosition(
  self: WeightMember,
  version: number,
  members: readonly WeightMember[],
): number {
  const local = members.filter(({ dataCentre }) => dataCentre === self.dataCentre);
  const order = rendezvousOrder(`switch ${version}`, local, ({ name }) => name);
  const rank = order.findIndex(({ name }) => name === self.name);
  return local.length > 1 ? Math.max(0, rank) / (local.length - 1) : 0;
}
