import type { FleetBounds } from '@laburnumstream/common';

/** Bounds of the platform in tests; those that tests wait for are short. */
export const platformBounds: FleetBounds = {
  shutdownMs: 4_000,
  drainMs: 2_000,
  configurationMs: 1_000,
  revocationMs: 2_500,
  failsClosed: true,
  evacuationMs: 5_000,
  versionMs: 8_000,
  addressReuseMs: 2_000,
  retryRatio: 0.2,
  retrySlack: 100,
  retryWindowMs: 10_000,
  coldFactor: 1.5,
  coldSlack: 5,
  maxEventDelayMs: 120,
};
