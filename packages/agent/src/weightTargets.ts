import type { LoadReport } from '@laburnumstream/common';
import type { Configuration } from '@laburnumstream/decisions';
import type { WantedVersion } from './weightFetcher.js';

/** A version that the endpoint should serve, with the digest of the previous version. */
export interface WeightTarget extends WantedVersion {
  readonly previous?: string;
}

/** The versions configured for a service: its model first, then its adapters. */
export function resolveTargets(configuration: Configuration, service: string): WeightTarget[] {
  const definition = configuration.services[service];
  const names = [definition?.model, ...(definition?.adapters ?? [])];
  return names.flatMap((model) => {
    const release = model ? configuration.releases[model] : undefined;
    if (!model || !release) return [];
    const { version, digest, previous } = release;
    return [{ model, version, digest, ...(previous ? { previous: previous.digest } : {}) }];
  });
}

/** Whether the endpoint serves a version as its model or as one of its adapters. */
export function serves(served: ServedWeights, digest: string): boolean {
  return served.weights === digest || served.adapters.includes(digest);
}

/** The fields of a load report that name the served weights. */
export type ServedWeights = Pick<LoadReport, 'weights' | 'adapters'>;

/** Digests to keep: the target versions, their previous versions and what is served now. */
export function digestsToKeep(
  targets: readonly WeightTarget[],
  served: ServedWeights,
): Set<string> {
  const targeted = targets.flatMap(({ digest, previous }) => [
    digest,
    ...(previous ? [previous] : []),
  ]);
  return new Set([...targeted, served.weights, ...served.adapters]);
}
