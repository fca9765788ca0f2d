/** Age of the version that an engine serves, and of what is known about it. */
export interface VersionAge {
  /** Time since a newer version was named, in milliseconds; negative infinity while it is the newest. */
  readonly outdatedMs: number;
  /** Time after which no request may start on an outdated version, in milliseconds. */
  readonly graceMs: number;
  /** Age of the last report of the engine's agent, in milliseconds. */
  readonly reportAgeMs: number;
}

/** Safety margin before the end of the grace time, in milliseconds. */
const graceMarginMs = 800;
/** Report age above which the instance may be paused and start a request much later, in milliseconds. */
const staleReportMs = 1_000;

/** Whether an engine's version permits sending it a request. */
export function isVersionEligible({ outdatedMs, graceMs, reportAgeMs }: VersionAge): boolean {
  if (outdatedMs < 0) return true;
  return outdatedMs < graceMs - graceMarginMs && reportAgeMs < staleReportMs;
}
