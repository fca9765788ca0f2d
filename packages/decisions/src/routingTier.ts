import type { Random } from '@laburnumstream/common';
import { targetLoad, rendezvousWeight } from './routingTarget.js';
import type { Target } from './routingTarget.js';

/** A home is used while its load is below this share of its limit. */
const calmShare = 0.5;

/** A busier home is used while its load is within this ratio of another endpoint's. */
const homeRatio = 1.25;

/** Draws before a tier counts as exhausted by earlier attempts; then it is searched in order. */
const mostDraws = 4;

/** Prefixes are spread over this many slots, each with a home; a power of two. */
const slotCount = 1_024;

/** The first target by rendezvous hash for each slot. */
function homesOf(targets: readonly Target[]): Target[] {
  return Array.from({ length: slotCount }, (_, slot) => {
    let home = targets[0]!;
    let most = -1;
    targets.forEach((target) => {
      const weight = rendezvousWeight(slot, target.hash);
      if (weight > most) [home, most] = [target, weight];
    });
    return home;
  });
}

/** Targets at one distance from the entry. Hot path: choosing allocates nothing. */
export class RoutingTier {
  private readonly homes: readonly Target[];

  constructor(private readonly targets: readonly Target[]) {
    this.homes = homesOf(targets);
  }

  /** The prefix's home, while its load is within bounds of another target's. */
  home(affinity: number, other: Target, tried: ReadonlySet<string>): Target | undefined {
    const home = this.homes[affinity % slotCount]!;
    if (tried.size > 0 && tried.has(home.name)) return undefined;
    const load = targetLoad(home);
    const isInBounds = load < calmShare || load <= targetLoad(other) * homeRatio;
    return isInBounds && load < 1 ? home : undefined;
  }

  /** The less loaded of two random targets that were not tried. */
  lessLoadedOfTwo(random: Random, tried: ReadonlySet<string>): Target | undefined {
    const first = this.draw(random, tried);
    const second = this.draw(random, tried);
    if (!first || !second) return first ?? second;
    return targetLoad(second) < targetLoad(first) ? second : first;
  }

  private draw(random: Random, tried: ReadonlySet<string>): Target | undefined {
    const { targets } = this;
    for (let draw = 0; draw < mostDraws; draw += 1) {
      const target = targets[Math.floor(random.next() * targets.length)]!;
      if (tried.size === 0 || !tried.has(target.name)) return target;
    }
    return targets.find(({ name }) => !tried.has(name));
  }
}
