import type { EndpointCrash, Survival } from './crashCauses.js';
import { isSharedPart } from './traits.js';

/** Crashes under one whole request from which on it is a crashing request, until it is completed. */
const minRequestCrashes = 3;

/**
 * Finds the whole requests under which endpoints have ended repeatedly since they were last completed,
 * with the number of crashes. Crashes count at once, not only when they have settled.
 */
export function findCrashingRequests(
  crashes: Iterable<EndpointCrash>,
  survivalOf: (trait: string) => Survival | undefined,
): ReadonlyMap<string, number> {
  const counts = new Map<string, number>();
  for (const { at, traits } of crashes) {
    for (const trait of traits) {
      const { lastAt = -Infinity } = survivalOf(trait) ?? {};
      if (!isSharedPart(trait) && at > lastAt) counts.set(trait, (counts.get(trait) ?? 0) + 1);
    }
  }
  return new Map([...counts].filter(([, count]) => count >= minRequestCrashes));
}
