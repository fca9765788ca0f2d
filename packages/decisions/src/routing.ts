import { hash32 } from '@laburnumstream/common';
import type { Random } from '@laburnumstream/common';
import { targetLoad, rendezvousWeight } from './routingTarget.js';
import type { Target } from './routingTarget.js';
import { RoutingTier } from './routingTier.js';

/** An endpoint that an entry may route to. */
export interface Candidate {
  readonly name: string;
  readonly dataCentre: string;
  readonly region: string;
  /** Work in flight as last reported by the agent, in work units. */
  readonly reported: number;
  /** Admission limit as last reported, in work units. */
  readonly limit: number;
}

/** Location of an entry or an endpoint. */
export interface Location {
  readonly dataCentre: string;
  readonly region: string;
}

/** Maximum number of endpoints at one distance that an entry routes to. */
export const subsetSize = 32;

/** Picks up to `size` members by rendezvous hash with the entry's name. */
export function pickSubset<Member extends { readonly hash: number }>(
  self: string,
  members: readonly Member[],
  size: number,
): readonly Member[] {
  if (members.length <= size) return members;
  const key = hash32(self);
  const weighted = members.map((member) => ({
    member,
    weight: rendezvousWeight(key, member.hash),
  }));
  weighted.sort((a, b) => b.weight - a.weight);
  return weighted.slice(0, size).map(({ member }) => member);
}

const noneTried: ReadonlySet<string> = new Set();

/** An endpoint of a routing table and its location. */
export interface RoutingMember extends Location {
  readonly target: Target;
}

function distance(a: Location, b: Location): number {
  if (a.dataCentre === b.dataCentre) return 0;
  return a.region === b.region ? 1 : 2;
}

/**
 * The endpoints of a service by distance from the entry. The index is built when the membership
 * changes, so that the cost of a choice doesn't depend on the number of endpoints.
 */
export class RoutingTable {
  private readonly tiers: readonly RoutingTier[];

  constructor(
    self: string,
    location: Location,
    members: readonly RoutingMember[],
    size = subsetSize,
  ) {
    this.tiers = [0, 1, 2]
      .map((tier) => members.filter((member) => distance(member, location) === tier))
      .map((tierMembers) =>
        pickSubset(
          self,
          tierMembers.map(({ target }) => target),
          size,
        ),
      )
      .filter((targets) => targets.length > 0)
      .map((targets) => new RoutingTier(targets));
  }

  /**
   * Chooses an endpoint of the nearest tier that has capacity: the prefix's home if its load permits,
   * else the less loaded of two random ones. When all tiers are full, the nearest one is used.
   * `affinity` is a hash of the prefix, 0 for none.
   */
  choose(
    affinity: number,
    random: Random,
    tried: ReadonlySet<string> = noneTried,
  ): Target | undefined {
    let fallback: Target | undefined;
    for (let index = 0; index < this.tiers.length; index += 1) {
      const tier = this.tiers[index]!;
      const target = tier.pickLessLoaded(random, tried);
      if (!target) continue;
      const home = affinity === 0 ? undefined : tier.home(affinity, target, tried);
      if (home) return home;
      if (targetLoad(target) < 1) return target;
      fallback ??= target;
    }
    return fallback;
  }
}
