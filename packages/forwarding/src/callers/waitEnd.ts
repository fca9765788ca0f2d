/** Why a request may not wait, or no longer wait, for an endpoint. */
export const WaitEnd = {
  /** No endpoint that is left could take it, whether it is free or not. */
  noEndpoint: 'no_endpoint',
  /** Its turn is expected too late for its goal, as others wait already. */
  expectedWait: 'expected_wait',
  /** Endpoints that cannot serve now are expected to too late for its deadline, or for those ahead of it. */
  expectedRecovery: 'expected_recovery',
  /** It would have to be sent again, and the retry budget has been used up for too long. */
  retryBudget: 'retry_budget',
  /** It can no longer meet its goal at any endpoint. */
  goalPassed: 'goal_passed',
  /** It has waited as long as a request that its caller retries may. */
  callerRetryWait: 'caller_retry_wait',
} as const;

/** One of the values of {@link WaitEnd}. */
export type WaitEnd = (typeof WaitEnd)[keyof typeof WaitEnd];
