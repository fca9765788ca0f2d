/** Age of the version that an engine serves, and of what is known about it. */
export interface VersionAge {
  /** Time since a newer version was named, in milliseconds; negative infinity while it is the newest. */
  readonly outdatedMs: number;
  /** Time after which no request may start on an outdated version, in milliseconds. */
  readonly graceMs: number;
  /** Age of the last report of the engine's agent, in milliseconds. */
  readonly reportAgeMs: number;
  /** Whether the engine has slots to spare, so that a request starts as soon as it arrives. */
  readonly startsAtOnce: boolean;
}

/** Safety margins before the end of the grace time, in milliseconds: requests wait in a busy engine's queue. */
const graceMarginMs = { free: 950, busy: 1_800 } as const;
/** Report age above which the instance may be paused and start a request much later, in milliseconds. */
const staleReportMs = 1_000;

/** Whether an engine's version permits sending it a request. */
export function isVersionEligible(age: VersionAge): boolean {
  const { outdatedMs, graceMs, reportAgeMs, startsAtOnce } = age;
  if (outdatedMs < 0) return true;
  const marginMs = startsAtOnce ? graceMarginMs.free : graceMarginMs.busy;
  return outdatedMs < graceMs - marginMs && reportAgeMs < staleReportMs;
}
