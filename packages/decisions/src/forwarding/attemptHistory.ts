/** An endpoint that a request was sent to. */
interface TriedEndpoint {
  readonly id: string;
}

/** Why an endpoint gets no further attempt of a request for now. */
interface Exclusion {
  /** Number of attempts that failed there, without those that it refused. */
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
 * attempt that is refused is missing in the retry budget. Where a place is known only the first applies.
 */
const backoffMs = { initial: 100, max: 400 } as const;

function exponentialMs({ initial, max }: { initial: number; max: number }, times: number): number {
  return Math.min(max, initial * 2 ** times);
}

/** The endpoints that one request was sent to, and where and how often it may be sent again. */
export class AttemptHistory<Endpoint extends TriedEndpoint> {
  private readonly exclusions = new Map<string, Exclusion>();

  private readonly executedAt: Endpoint[] = [];

  /** Refusals since the last attempt that was executed. */
  private refusals = 0;

  /** Monotonic time of the last refusal, in milliseconds. */
  private refusedAt = -Infinity;

  constructor(
    /** Maximum number of endpoints that may execute the request. */
    private readonly maxEndpoints: number,
    /** Whether an endpoint still runs; those that were lost don't count for a begun request. */
    private readonly isRunning: (endpoint: Endpoint) => boolean,
  ) {}

  /** Number of attempts that may have executed the request. */
  get executions(): number {
    return this.executedAt.length;
  }

  /** The endpoint of each attempt that may have executed the request. */
  get executedEndpoints(): readonly Endpoint[] {
    return this.executedAt;
  }

  /** Number of endpoints that are or were excluded. */
  get excludedEndpoints(): number {
    return this.exclusions.size;
  }

  /** Whether as many endpoints as allowed have executed the request and still run. */
  get isLimitReached(): boolean {
    return this.countRunning(this.executedAt) >= this.maxEndpoints;
  }

  /**
   * Records that an endpoint has refused the request without executing it. How long begun requests leave it
   * alone depends on what all of them have met there.
   */
  recordRefusal({ id }: Endpoint, now: number): void {
    const { failures = 0, until = now } = this.exclusions.get(id) ?? {};
    // A request that was to leave the endpoint has left it.
    this.exclusions.set(id, { failures, until: until === Infinity ? now : until });
    this.refusedAt = now;
    this.refusals += 1;
  }

  /** Records that the request did not reach an endpoint, which gets it no more for now. */
  recordUnsent(endpoint: Endpoint, now: number): void {
    this.recordRefusal(endpoint, now);
    this.exclude(endpoint, now);
  }

  /** Records that an endpoint may have executed the request, or a part of it, and gets it no more for now. */
  recordExecution(endpoint: Endpoint, now: number): void {
    this.exclude(endpoint, now);
    this.executedAt.push(endpoint);
    this.refusals = 0;
  }

  /** Excludes the endpoint that a running request is to leave, until it has left. */
  excludeCurrent({ id }: Endpoint): void {
    const { failures = 0 } = this.exclusions.get(id) ?? {};
    this.exclusions.set(id, { failures, until: Infinity });
  }

  /** Whether the number of executions allows one more attempt. */
  allowsAttempt(isBegun: boolean): boolean {
    return this.executions < this.getLimit(isBegun);
  }

  /** Whether the request, which runs at `current`, may be executed elsewhere at once. */
  allowsReplacement(isBegun: boolean, current: Endpoint): boolean {
    const executedAt = [...this.executedAt, current];
    if (executedAt.length >= this.getLimit(isBegun)) return false;
    return !isBegun || this.countRunning(executedAt) < this.maxEndpoints;
  }

  /**
   * Whether the request must not be sent to an endpoint now. While it can be refused, no endpoint gets it
   * twice; once it has begun, one that has failed may get it again after a while, and earlier if the endpoint
   * is known to have a place.
   */
  isExcluded(id: string, isBegun: boolean, now: number, hasPlace = false): boolean {
    const exclusion = this.exclusions.get(id);
    if (!isBegun) return exclusion !== undefined;
    return now < this.backoffUntil(hasPlace) || (exclusion !== undefined && now < exclusion.until);
  }

  /** Monotonic time until which a begun request is not sent, to an endpoint with a place or to others. */
  private backoffUntil(hasPlace: boolean): number {
    const times = hasPlace ? 0 : Math.max(0, this.refusals - 1);
    return this.refusals === 0 ? -Infinity : this.refusedAt + exponentialMs(backoffMs, times);
  }

  private exclude({ id }: Endpoint, now: number): void {
    const failures = (this.exclusions.get(id)?.failures ?? 0) + 1;
    this.exclusions.set(id, { failures, until: now + exponentialMs(exclusionMs, failures - 1) });
  }

  private getLimit(isBegun: boolean): number {
    return this.maxEndpoints + (isBegun ? maxExtraExecutions : 0);
  }

  private countRunning(endpoints: readonly Endpoint[]): number {
    return new Set(endpoints.filter((endpoint) => this.isRunning(endpoint))).size;
  }
}
