import { isSharedPart } from './traits.js';

/** The end of an endpoint, and the traits of the requests that it was running. */
export interface EndpointCrash {
  /** The endpoint's incarnation: its id and the time of its start. */
  readonly endpoint: string;
  /** Monotonic time, in milliseconds. */
  readonly at: number;
  /** What these requests share with others: parts of their prompts, and a digest of the whole request. */
  readonly traits: ReadonlySet<string>;
}

/** Requests with a trait that were completed. */
export interface Survival {
  readonly count: number;
  /** Monotonic time of the last one, in milliseconds. */
  readonly lastAt: number;
}

/** Traits that crash endpoints when a request has all of them. */
export interface Culprit {
  readonly traits: readonly string[];
  readonly crashes: readonly EndpointCrash[];
}

/** Crashes that blame a shared part with which no request was ever completed. */
const minPartCrashes = 4;
/** Crashes that blame a whole request; one more if it was ever completed. */
const minRequestCrashes = 3;
/** Completed requests with a trait that outweigh one crash. */
const survivalsPerCrash = 5;
/** Crashes within this time may have one common cause and count as one, in milliseconds. */
const sameCauseMs = 20;

/** A trait with the crashes since the last request that was completed with it. */
interface Suspect {
  readonly trait: string;
  readonly survivals: number;
  readonly crashes: readonly EndpointCrash[];
}

/** Number of crashes that are needed to blame a trait, after so many completed requests with it. */
export function requiredCrashes(trait: string, survivals: number): number {
  if (!isSharedPart(trait)) return minRequestCrashes + Math.min(survivals, 1);
  return minPartCrashes + Math.ceil(survivals / survivalsPerCrash);
}

/** Whether `culprit` explains crashes of `other` but for those of one moment. */
export function explains(culprit: Culprit, other: Culprit): boolean {
  return countMoments(other.crashes.filter((crash) => !culprit.crashes.includes(crash))) <= 1;
}

/** Number of crashes, of which those at about the same time count as one. */
export function countMoments(crashes: readonly EndpointCrash[]): number {
  let count = 0;
  let lastAt = -Infinity;
  [...crashes]
    .sort((a, b) => a.at - b.at)
    .forEach(({ at }) => {
      if (at - lastAt < sameCauseMs) return;
      count += 1;
      lastAt = at;
    });
  return count;
}

function findSuspects(
  crashes: readonly EndpointCrash[],
  survivalOf: (trait: string) => Survival | undefined,
): Suspect[] {
  const crashesByTrait = new Map<string, EndpointCrash[]>();
  crashes.forEach((crash) =>
    crash.traits.forEach((trait) => {
      const { lastAt = -Infinity } = survivalOf(trait) ?? {};
      if (crash.at <= lastAt) return;
      const known = crashesByTrait.get(trait);
      if (known) known.push(crash);
      else crashesByTrait.set(trait, [crash]);
    }),
  );
  return [...crashesByTrait].map(([trait, found]) => ({
    trait,
    survivals: survivalOf(trait)?.count ?? 0,
    crashes: found,
  }));
}

function isSameSet(a: readonly EndpointCrash[], b: readonly EndpointCrash[]): boolean {
  return a.length === b.length && a.every((crash) => b.includes(crash));
}

/**
 * Finds the traits that explain crashes. An endpoint takes all its requests along, so that traits of
 * sound requests were under way at crashes too. The trait that explains most is blamed first, and its
 * crashes no longer count against others. Traits that were under way at exactly the same crashes can't
 * be told apart and are blamed only together, until a request that has some of them tells more.
 */
export function findCulprits(
  crashes: readonly EndpointCrash[],
  survivalOf: (trait: string) => Survival | undefined,
): Culprit[] {
  const suspects = findSuspects(crashes, survivalOf);
  const explained = new Set<EndpointCrash>();
  const culprits: Culprit[] = [];
  for (;;) {
    const [first] = suspects
      .map((suspect) => {
        const unexplained = suspect.crashes.filter((crash) => !explained.has(crash));
        const moments = countMoments(unexplained);
        return { suspect, crashes: unexplained.length, moments };
      })
      .filter(
        ({ suspect, moments }) => moments >= requiredCrashes(suspect.trait, suspect.survivals),
      )
      .sort(
        (a, b) =>
          a.suspect.survivals - b.suspect.survivals ||
          b.moments - a.moments ||
          b.crashes - a.crashes,
      );
    if (!first) return culprits;
    const { crashes: blamed } = first.suspect;
    const traits = suspects
      .filter(({ trait, survivals, crashes: other }) => {
        const isBlamable = countMoments(other) >= requiredCrashes(trait, survivals);
        return isBlamable && isSameSet(other, blamed);
      })
      .map(({ trait }) => trait)
      .sort();
    culprits.push({ traits, crashes: blamed });
    blamed.forEach((crash) => explained.add(crash));
  }
}
