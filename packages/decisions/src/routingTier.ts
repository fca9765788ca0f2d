import type { Random } from '@laburnumstream/common';
import { targetLoad, rendezvousWeight } from './routingTarget.js';
import type { Target } from './routingTarget.js';

/** Load below which a home is always used. */
const maxCalmLoad = 0.5;

/** Ratio to another endpoint's load up to which a busier home is used. */
const maxHomeLoadRatio = 1.25;

/** Random draws before a target that was not tried is searched for in order. */
const maxDraws = 4;

/** Number of hash slots, each with a home, that prefixes are distributed over; a power of two. */
const slotCount = 1_024;

/** Computes the home of each slot: its first target by rendezvous hash. */
function computeHomes(targets: readonly Target[]): Target[] {
  return Array.from({ length: slotCount }, (_, slot) => {
    let home = targets[0]!;
    let maxWeight = -1;
    targets.forEach((target) => {
      const weight = rendezvousWeight(slot, target.hash);
      if (weight > maxWeight) [home, maxWeight] = [target, weight];
    });
    return home;
  });
}

/** Targets at one distance from the entry. Choosing is on the hot path and must not allocate. */
export class RoutingTier {
  private readonly homes: readonly Target[];

  constructor(private readonly targets: readonly Target[]) {
    this.homes = computeHomes(targets);
  }

  /** The prefix's home, if it has capacity and its load is low or not much above another target's. */
  home(affinity: number, other: Target, tried: ReadonlySet<string>): Target | undefined {
    const home = this.homes[affinity % slotCount]!;
    if (tried.size > 0 && tried.has(home.name)) return undefined;
    const load = targetLoad(home);
    const isAcceptable = load < maxCalmLoad || load <= targetLoad(other) * maxHomeLoadRatio;
    return isAcceptable && load < 1 ? home : undefined;
  }

  /** Picks the less loaded of two random targets that were not tried. */
  pickLessLoaded(random: Random, tried: ReadonlySet<string>): Target | undefined {
    const first = this.drawRandom(random, tried);
    const second = this.drawRandom(random, tried);
    if (!first || !second) return first ?? second;
    return targetLoad(second) < targetLoad(first) ? second : first;
  }

  private drawRandom(random: Random, tried: ReadonlySet<string>): Target | undefined {
    const { targets } = this;
    for (let draw = 0; draw < maxDraws; draw += 1) {
      const target = targets[Math.floor(random.next() * targets.length)]!;
      if (tried.size === 0 || !tried.has(target.name)) return target;
    }
    return targets.find(({ name }) => !tried.has(name));
  }
}
