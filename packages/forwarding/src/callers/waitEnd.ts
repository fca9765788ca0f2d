/** Why a request may not wait, or no longer wait, for an endpoint. */
export const WaitEnd = {
  /** No endpoint that is left could take it, whether it is free or not. */
  noEndpoint: 'no_endpoint',
  /** Its turn is expected too late for its goal, as others wait already. */
  expectedWait: 'expected_wait',
  /** It can no longer meet its goal at any endpoint. */
  goalPassed: 'goal_passed',
  /** It has waited as long as a request that its caller retries may. */
  callerRetryWait: 'caller_retry_wait',
} as const;

/** One of the values of {@link WaitEnd}. */
export type WaitEnd = (typeof WaitEnd)[keyof typeof WaitEnd];
