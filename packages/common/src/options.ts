/** Default values of all options; settings files override them. */
export const optionDefaults = {
  /** Maximum body size of a caller's request, in bytes. */
  maxBodyBytes: 1_048_576,
  /** Timeout for a request including all retries, in milliseconds. */
  requestTimeoutMs: 120_000,
  /** Time without data or progress after which a running request's connection is considered dead, in milliseconds. */
  progressTimeoutMs: 5_000,
  /** Time without frames from an agent after which a new connection is tried, in milliseconds. */
  silenceMs: 2_000,
  /** Interval between progress frames of a run that has no token to send, in milliseconds. */
  progressMs: 500,
  /** Time for which an agent keeps a run alive that no entry is attached to, in milliseconds. */
  resumeGraceMs: 3_000,
  /** Time for which an agent retains the outcome of a request with an idempotency key, in milliseconds. */
  outcomeKeepMs: 60_000,
  /** Time for which the claim of an idempotency key is stored in the key-value service, in milliseconds. */
  claimKeepMs: 86_400_000,
  /** Maximum size of a response that is stored with its claim, in bytes. */
  recordedAnswerBytes: 16_384,
  /** Time for which a request that crashes endpoints is rejected, in milliseconds. */
  convictionMs: 600_000,
  /** Interval between heartbeats of an agent to its entries, in milliseconds. */
  heartbeatMs: 1_000,
  /** Number of entries to which a member sends its heartbeats. */
  observers: 2,
  /** Time without heartbeats after which a member is considered gone, in milliseconds. */
  memberTimeoutMs: 3_000,
  /** Interval between membership exchanges of two entries while nothing changes, in milliseconds. */
  exchangeMs: 2_000,
  /** Time without contact to a data centre after which its endpoints are excluded, in milliseconds. */
  dataCentreTimeoutMs: 10_000,
  /** Duration over which a returned data centre ramps up to its full share of the load, in milliseconds. */
  returnRampMs: 15_000,
  /** Duration of a process pause after which the process revalidates its state, in milliseconds. */
  pauseLimitMs: 1_500,
  /** Time within which the load balancer detects that an entry is not ready, in milliseconds. */
  balancerNoticeMs: 2_000,
  /** Time between announcing that an agent leaves and its shutdown, in milliseconds. */
  leaveNoticeMs: 1_000,
  /** Age at which a connection between the system's processes is replaced, in milliseconds. */
  linkAgeMs: 300_000,
  /** Refresh interval of the platform's instance list, in milliseconds. */
  instanceListMs: 30_000,
  /** Maximum duration of one watch call on the key-value service, in milliseconds. */
  watchMs: 4_000,
  /** Timeout of a call to the platform, in milliseconds. */
  platformTimeoutMs: 2_000,
  /** Timeout for an operator's change, in milliseconds. */
  changeTimeoutMs: 5_000,
  /** Time that in-flight work has to finish at shutdown, in milliseconds. */
  shutdownMs: 30_000,
  /** Duration of a roll-out slot's lease, in milliseconds. */
  slotLeaseMs: 5_000,
  /** Memory for an agent's weight cache, in bytes. */
  weightMemoryBytes: 2_147_483_648,
  /** Maximum rate of an agent for sending weights, and likewise for receiving them, in bytes per second. */
  weightBytesPerSecond: 134_217_728,
  /** Maximum work units admitted to an endpoint after a cold start. */
  coldLimit: 2,
  /** Maximum work units admitted to one endpoint. */
  maxLimit: 64,
  /** Maximum number of queued requests at an agent. */
  maxQueue: 64,
  /** Maximum time of a request in an agent's queue, in milliseconds. */
  maxQueueMs: 1_000,
  /** Maximum number of attempts for a retryable request. */
  maxAttempts: 3,
} as const;

/** Values of all options. */
export type Options = { readonly [Name in keyof typeof optionDefaults]: number };
