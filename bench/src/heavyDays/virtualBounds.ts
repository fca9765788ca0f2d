import type { FleetBounds } from '@laburnumstream/common';

/** Bounds of the fleets in virtual time, which differ in the slack of their retry budgets. */
export const virtualBounds: Omit<FleetBounds, 'retrySlack'> = {
  shutdownMs: 4_000,
  drainMs: 2_000,
  configurationMs: 1_000,
  revocationMs: 5_000,
  failsClosed: true,
  evacuationMs: 5_000,
  versionMs: 8_000,
  addressReuseMs: 2_000,
  retryRatio: 0.2,
  retryWindowMs: 10_000,
  coldFactor: 1.5,
  coldSlack: 5,
  maxEventDelayMs: 120,
};
