/** An endpoint that a request was sent to. */
interface TriedEndpoint {
  readonly id: string;
}

/** Why an endpoint gets no further attempt of a request for now. */
interface Exclusion {
  /** Number of attempts that failed there. */
  readonly failures: number;
  /** Monotonic time until which it holds for a request that has begun, in milliseconds. */
  readonly until: number;
}

/** Executions of a begun request beyond the limit of its route, if their endpoints were lost since. */
const maxExtraExecutions = 2;
/** Exclusion of an endpoint after the first failed attempt of a begun request, doubled by each further one. */
const exclusionMs = { initial: 200, max: 1_600 } as const;
/**
 * Delay of a begun request after the first endpoint that refuses it, doubled by each further one: each
 * attempt that is refused is missing in the retry budget.
 */
const backoffMs = { initial: 100, max: 800 } as const;

function exponentialMs({ initial, max }: { initial: number; max: number }, times: number): number {
  return Math.min(max, initial * 2 ** times);
}

/** The endpoints that one request was sent to, and where and how often it may be sent again. */
export class AttemptHistory<Endpoint extends TriedEndpoint> {
  private readonly exclusions = new Map<string, Exclusion>();

  /** The endpoint of each attempt that may have executed the request. */
  private readonly executedAt: Endpoint[] = [];

  constructor(
    /** Maximum number of executions of the request. */
    private readonly maxExecutions: number,
    /** Whether an endpoint still runs; those that were lost don't count for a begun request. */
    private readonly isRunning: (endpoint: Endpoint) => boolean,
  ) {}

  /** Refusals since the last attempt that was executed. */
  private refusals = 0;

  /** Monotonic time until which a begun request is sent nowhere, in milliseconds. */
  private backoffUntil = -Infinity;

  /** Number of attempts that may have executed the request. */
  get executions(): number {
    return this.executedAt.length;
  }

  /** Number of endpoints at which an attempt has failed. */
  get failedEndpoints(): number {
    return this.exclusions.size;
  }

  /** Records that an endpoint has refused the request without executing it. */
  recordRefusal(endpoint: Endpoint, now: number): void {
    this.exclude(endpoint, now);
    this.backoffUntil = now + exponentialMs(backoffMs, this.refusals);
    this.refusals += 1;
  }

  /** Records that an endpoint may have executed the request, or a part of it, and has failed. */
  recordExecutionFailure(endpoint: Endpoint, now: number): void {
    this.exclude(endpoint, now);
    this.recordExecution(endpoint);
    this.refusals = 0;
  }

  private exclude({ id }: Endpoint, now: number): void {
    const failures = (this.exclusions.get(id)?.failures ?? 0) + 1;
    this.exclusions.set(id, { failures, until: now + exponentialMs(exclusionMs, failures - 1) });
  }

  /** Records that an endpoint may have executed the request, or a part of it. */
  recordExecution(endpoint: Endpoint): void {
    this.executedAt.push(endpoint);
  }

  /** Excludes the endpoint that a running request is to leave. */
  excludeCurrent({ id }: Endpoint): void {
    const { failures = 0 } = this.exclusions.get(id) ?? {};
    this.exclusions.set(id, { failures, until: Infinity });
  }

  /** Whether the limit on executions allows one more attempt, after `running` ones that still run. */
  allowsAttempt(isBegun: boolean, running = 0): boolean {
    const limit = this.maxExecutions + (isBegun ? maxExtraExecutions : 0);
    return this.executions + running < limit;
  }

  /** Whether endpoints that still run have executed the request as often as is allowed. */
  get isLimitReached(): boolean {
    const running = this.executedAt.filter((endpoint) => this.isRunning(endpoint));
    return running.length >= this.maxExecutions;
  }

  /**
   * Whether the request must not be sent to an endpoint now. While it can be refused, no endpoint gets it
   * twice; once it has begun, one that has failed may get it again after a while.
   */
  isExcluded(id: string, isBegun: boolean, now: number): boolean {
    const exclusion = this.exclusions.get(id);
    if (!isBegun) return exclusion !== undefined;
    return now < this.backoffUntil || (exclusion !== undefined && now < exclusion.until);
  }
}
