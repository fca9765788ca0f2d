import type { Configuration, Release } from '../configuration/model.js';

/** Longest delay before an endpoint first tries to acquire a slot, in milliseconds. */
const maxSlotDelayMs = 1_000;

/**
 * Delay before an endpoint first tries to acquire a slot, in milliseconds: proportional to its
 * load, so that the least loaded endpoints switch first.
 */
export function slotDelayMs(inFlight: number, limit: number): number {
  return Math.min(1, inFlight / Math.max(1, limit)) * maxSlotDelayMs;
}

/** Minimum interval between two polls for a free slot, in milliseconds. */
const minSlotPollMs = 200;
/** Average interval between polls by all waiting endpoints of a data centre, in milliseconds. */
const pollSpacingMs = 25;

/**
 * Interval at which one endpoint polls for a free slot, in milliseconds. It grows with the number
 * of endpoints that may wait, so that the total load on the store does not.
 */
export function slotPollIntervalMs(endpoints: number): number {
  return Math.max(minSlotPollMs, endpoints * pollSpacingMs);
}

/** Failures of one version at one endpoint. */
export interface VersionFailures {
  readonly digest: string;
  /** Load orders that the endpoint refused; losing the slot does not count. */
  readonly failedLoads: number;
  /** Times that the endpoint lost the weights shortly after loading them. */
  readonly losses: number;
}

const maxFailedLoads = 2;
const maxLosses = 2;

/** The reason why an endpoint considers a version unfit; undefined while it does not. */
export function unfitReason({ failedLoads, losses }: VersionFailures): string | undefined {
  if (failedLoads >= maxFailedLoads) return `failed to load ${failedLoads} times`;
  if (losses >= maxLosses) return `lost its weights ${losses} times after the switch`;
  return undefined;
}

/** An endpoint's report that a version is unfit. */
export interface UnfitReport {
  readonly instance: string;
  readonly digest: string;
  readonly reason: string;
}

/**
 * The release rolled back to its previous version and marked as stopped; undefined when it has no
 * previous version or the report is about another version.
 */
export function rollBackRelease(
  release: Release | undefined,
  { instance, digest, reason }: UnfitReport,
): Release | undefined {
  if (!release?.previous || release.digest !== digest) return undefined;
  const { previous, startedAt, version } = release;
  return { ...previous, startedAt, stopped: `${version}: ${instance} ${reason}` };
}

/** The first model whose version in roll-out is reported unfit, with the report. */
export function findUnfitRelease(
  configuration: Configuration,
  reports: readonly UnfitReport[],
): { model: string; report: UnfitReport } | undefined {
  for (const [model, release] of Object.entries(configuration.releases)) {
    const report = reports.find(({ digest }) => digest === release.digest && release.previous);
    if (report) return { model, report };
  }
  return undefined;
}

/** Estimated remaining time of a roll-out, in milliseconds; undefined before the first switch. */
export function estimateTimeLeftMs(
  done: number,
  endpoints: number,
  startedAt: number,
  now: number,
): number | undefined {
  if (done >= endpoints) return 0;
  if (done === 0) return undefined;
  return ((now - startedAt) / done) * (endpoints - done);
}
