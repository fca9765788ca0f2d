/** Part of the shutdown bound that is left for final answers and the rest of streams, in milliseconds. */
const finalAnswerMs = 500;
/** Part of the shutdown bound that is left for the exit of the process, in milliseconds. */
const exitMs = 150;
/** Time in which two checks of the load balancer, one a second, are not answered as ready, in milliseconds. */
const balancerNoticeMs = 2_200;
/** Time in which new connections may still come, from balancers whose checks are late, in milliseconds. */
const lateConnectionMs = 3_000;
/** Largest parts of a short shutdown bound that these times may take. */
const maxShare = { finalAnswer: 1 / 8, exit: 1 / 24, balancerNotice: 0.4, lateConnection: 0.5 };
/** Delay after which a refused caller is asked to retry at another entry, in milliseconds. */
const retryDelayMs = { min: 20, spread: 80 } as const;

/**
 * The times of one planned stop, on the monotonic clock in milliseconds. A request is passed on only if
 * its deadline is no later than `answersBy`; what is still unanswered then gets a final answer.
 */
export class PlannedStop {
  /** Time by which each request that is passed on must have ended. */
  readonly answersBy: number;

  /** Time from which idle connections are closed: the load balancer has noticed the stop. */
  readonly idleClosedAt: number;

  /** Time before which the process does not exit, so that late connections are answered. */
  readonly earliestEndAt: number;

  /** Time at which the process exits, whatever is left. */
  readonly latestEndAt: number;

  constructor(startedAt: number, shutdownMs: number) {
    const atMost = (ms: number, share: number): number => Math.min(ms, shutdownMs * share);
    const endAt = startedAt + shutdownMs;
    this.answersBy = endAt - atMost(finalAnswerMs, maxShare.finalAnswer);
    this.idleClosedAt = startedAt + atMost(balancerNoticeMs, maxShare.balancerNotice);
    this.earliestEndAt = startedAt + atMost(lateConnectionMs, maxShare.lateConnection);
    this.latestEndAt = endAt - atMost(exitMs, maxShare.exit);
  }

  /** Whether a request that has to end by `deadlineAt` is sure to end before the process does. */
  mayPassOn(deadlineAt: number): boolean {
    return deadlineAt <= this.answersBy;
  }
}

/**
 * Returns after how long a refused caller finds another entry, in milliseconds: a retry does not come
 * back to the same one, so only those that are refused at the same moment are spread. `random` is in
 * [0, 1).
 */
export function stopRetryDelayMs(random: number): number {
  return retryDelayMs.min + random * retryDelayMs.spread;
}
