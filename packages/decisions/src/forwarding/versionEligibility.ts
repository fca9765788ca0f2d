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

/** Time that a request usually waits in an engine's queue, so that few are withdrawn, in milliseconds. */
const usualWaitMs = { free: 950, busy: 1_800 } as const;
/** Report age above which the instance may be paused and start a request much later, in milliseconds. */
const staleReportMs = 1_000;
/** Time in which an engine notices that a request was withdrawn, in milliseconds. */
const withdrawalMs = 250;

/** Whether an engine's version permits sending it a request. */
export function isVersionEligible(age: VersionAge): boolean {
  const { outdatedMs, graceMs, reportAgeMs, startsAtOnce } = age;
  if (outdatedMs < 0) return true;
  const marginMs = startsAtOnce ? usualWaitMs.free : usualWaitMs.busy;
  return outdatedMs < graceMs - marginMs && reportAgeMs < staleReportMs;
}

/** Whether a request that was sent to an engine may still start there; otherwise it is to be withdrawn. */
export function mayStartOnVersion({
  outdatedMs,
  graceMs,
}: Pick<VersionAge, 'outdatedMs' | 'graceMs'>): boolean {
  return outdatedMs < graceMs - withdrawalMs;
}
