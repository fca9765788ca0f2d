import { rendezvousOrder } from '@laburnumstream/common';

/** What decides when one engine leaves its old weights for a named version. */
export interface SwitchPlan {
  /** Time since the version was named, in milliseconds. */
  readonly namedMsAgo: number;
  /** Time after the naming at which no request may begin on an older version, in milliseconds. */
  readonly graceMs: number;
  /** Place of the engine among those of its service. */
  readonly rank: number;
  readonly engines: number;
}

/** Time that an engine needs to end its requests and to load, in milliseconds. */
const switchMs = 2_200;
/** Time after the naming before which no engine has the weights, in milliseconds. */
const earliestMs = 3_000;

/**
 * Time until an engine begins to switch, in milliseconds. Engines switch one after the other over the
 * time that is left, so that most of them serve at any moment; nobody has to be asked for that.
 */
export function switchDelayMsOf({ namedMsAgo, graceMs, rank, engines }: SwitchPlan): number {
  const latestMs = Math.max(0, graceMs - switchMs);
  const firstMs = Math.min(earliestMs, latestMs);
  const share = engines > 1 ? rank / (engines - 1) : 0;
  return Math.max(0, firstMs + (latestMs - firstMs) * share - namedMsAgo);
}

/** Place of a member in the order in which those of a service switch to a version. */
export function switchRank(name: string, version: number, names: readonly string[]): number {
  return rendezvousOrder(`switch ${version}`, [...names], (each) => each).indexOf(name);
}
