/** What decides whether requests may begin on the version that an engine holds. */
export interface VersionAge {
  /** Time since a newer version was named, in milliseconds; negative infinity while it is the newest. */
  readonly outdatedMs: number;
  /** Time after a naming at which no request may begin on an older version, in milliseconds. */
  readonly graceMs: number;
  /** Time since the engine's agent was last heard of, in milliseconds. */
  readonly reportAgeMs: number;
}

/** Time before the end of the grace after which an old version is left, in milliseconds. */
const marginMs = 800;
/** Age of a report after which its instance may stand still and begin what it gets much later. */
const oldReportMs = 1_000;

/** Whether a request may be sent to an engine as far as its version counts. */
export function isVersionEligible({ outdatedMs, graceMs, reportAgeMs }: VersionAge): boolean {
  if (outdatedMs < 0) return true;
  return outdatedMs < graceMs - marginMs && reportAgeMs < oldReportMs;
}
