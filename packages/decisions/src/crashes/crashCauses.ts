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
export interface CrashCause {
  readonly traits: readonly string[];
  readonly crashes: readonly EndpointCrash[];
}

/** Crashes that are attributed to a shared part with which no request was ever completed. */
const minPartCrashes = 4;
/** Crashes that are attributed to a whole request; one more if it was ever completed. */
const minRequestCrashes = 3;
/** Completed requests with a trait that outweigh one crash. */
const survivalsPerCrash = 5;
/** Crashes within this time may have one common cause and count as one, in milliseconds. */
const sameCauseMs = 20;

/** A trait with the crashes since the last request that was completed with it. */
interface Candidate {
  readonly trait: string;
  readonly survivals: number;
  readonly crashes: readonly EndpointCrash[];
}

/** Number of crashes after which crashes are attributed to a trait, after so many completed requests with it. */
export function requiredCrashes(trait: string, survivals: number): number {
  if (!isSharedPart(trait)) return minRequestCrashes + Math.min(survivals, 1);
  return minPartCrashes + Math.ceil(survivals / survivalsPerCrash);
}

/** Whether `cause` explains crashes of `other` but for those of one moment. */
export function explains(cause: CrashCause, other: CrashCause): boolean {
  return countMoments(other.crashes.filter((crash) => !cause.crashes.includes(crash))) <= 1;
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

function findCandidates(
  crashes: readonly EndpointCrash[],
  survivalOf: (trait: string) => Survival | undefined,
): Candidate[] {
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
 * sound requests were under way at crashes too. The trait that explains most is attributed first, and its
 * crashes no longer count against others. Traits that were under way at exactly the same crashes can't
 * be told apart and are attributed only together, until a request that has only some of them is completed or ends an endpoint.
 */
export function findCrashCauses(
  crashes: readonly EndpointCrash[],
  survivalOf: (trait: string) => Survival | undefined,
): CrashCause[] {
  const candidates = findCandidates(crashes, survivalOf);
  const explained = new Set<EndpointCrash>();
  const causes: CrashCause[] = [];
  for (;;) {
    const [first] = candidates
      .map((candidate) => {
        const unexplained = candidate.crashes.filter((crash) => !explained.has(crash));
        const moments = countMoments(unexplained);
        return { candidate, crashes: unexplained.length, moments };
      })
      .filter(
        ({ candidate, moments }) =>
          moments >= requiredCrashes(candidate.trait, candidate.survivals),
      )
      .sort(
        (a, b) =>
          a.candidate.survivals - b.candidate.survivals ||
          b.moments - a.moments ||
          b.crashes - a.crashes,
      );
    if (!first) return causes;
    const { crashes: attributed } = first.candidate;
    const traits = candidates
      .filter(({ trait, survivals, crashes: other }) => {
        const isExplained = countMoments(other) >= requiredCrashes(trait, survivals);
        return isExplained && isSameSet(other, attributed);
      })
      .map(({ trait }) => trait)
      .sort();
    causes.push({ traits, crashes: attributed });
    attributed.forEach((crash) => explained.add(crash));
  }
}
