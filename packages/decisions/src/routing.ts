import { hash32 } from '@laburnumstream/common';
import type { Random } from '@laburnumstream/common';
import { targetLoad, rendezvousWeight } from './routingTarget.js';
import type { Target } from './routingTarget.js';
import { RoutingTier } from './routingTier.js';

/** An endpoint as an entry sees it. */
export interface Candidate {
  readonly name: string;
  readonly dataCentre: string;
  readonly region: string;
  /** Work in flight as last reported by the agent, in work units. */
  readonly reported: number;
  /** Admission limit as last reported, in work units. */
  readonly limit: number;
}

/** Where an entry stands. */
export interface Location {
  readonly dataCentre: string;
  readonly region: string;
}

/** Endpoints that an entry keeps in touch with in one data centre. */
export const subsetSize = 32;

/** The members that an entry uses of a long list: the first by rendezvous hash with its name. */
export function pickSubset<Member extends { readonly hash: number }>(
  self: string,
  members: readonly Member[],
  size: number,
): readonly Member[] {
  if (members.length <= size) return members;
  const key = hash32(self);
  const weighed = members.map((member) => ({ member, at: rendezvousWeight(key, member.hash) }));
  weighed.sort((a, b) => b.at - a.at);
  return weighed.slice(0, size).map(({ member }) => member);
}

const nothingTried: ReadonlySet<string> = new Set();

/** Where an endpoint of a routing table stands. */
export interface RoutingMember extends Location {
  readonly target: Target;
}

function distanceOf(member: Location, place: Location): number {
  if (member.dataCentre === place.dataCentre) return 0;
  return member.region === place.region ? 1 : 2;
}

/**
 * The endpoints of a service in the order of their distance, indexed when the membership changes, so
 * that a choice costs the same for few and for many.
 */
export class RoutingTable {
  private readonly tiers: readonly RoutingTier[];

  constructor(self: string, place: Location, members: readonly RoutingMember[], size = subsetSize) {
    this.tiers = [0, 1, 2]
      .map((distance) => members.filter((member) => distanceOf(member, place) === distance))
      .map((near) =>
        pickSubset(
          self,
          near.map(({ target }) => target),
          size,
        ),
      )
      .filter((targets) => targets.length > 0)
      .map((targets) => new RoutingTier(targets));
  }

  /**
   * Chooses an endpoint: near ones first, there the prefix's home while its load allows it, else the
   * less loaded of two; further ones when the near ones are full; a near one when all are full.
   * `affinity` is a hash of the prefix, 0 for none.
   */
  choose(
    affinity: number,
    random: Random,
    tried: ReadonlySet<string> = nothingTried,
  ): Target | undefined {
    let fallback: Target | undefined;
    for (let index = 0; index < this.tiers.length; index += 1) {
      const tier = this.tiers[index]!;
      const target = tier.lessLoadedOfTwo(random, tried);
      if (!target) continue;
      const home = affinity === 0 ? undefined : tier.home(affinity, target, tried);
      if (home) return home;
      if (targetLoad(target) < 1) return target;
      fallback ??= target;
    }
    return fallback;
  }
}
