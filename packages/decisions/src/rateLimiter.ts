import { Overloaded } from '@laburnumstream/common';

const secondMs = 1_000;

/** Refill rate and capacity of a token bucket. */
export interface RateLimit {
  readonly perSecond: number;
  readonly burst: number;
}

/** Limits the rate of calls with one token bucket per name. */
export class RateLimiter {
  private readonly buckets = new Map<string, { tokens: number; at: number }>();

  constructor(private readonly limit: RateLimit) {}

  /** Takes a token of a name's bucket at `nowMs`; throws `Overloaded` when it is empty. */
  take(name: string, nowMs: number): void {
    const { perSecond, burst } = this.limit;
    const bucket = this.buckets.get(name) ?? { tokens: burst, at: nowMs };
    const refilled = bucket.tokens + ((nowMs - bucket.at) / secondMs) * perSecond;
    const tokens = Math.min(burst, refilled);
    this.buckets.set(name, { tokens: Math.max(0, tokens - 1), at: nowMs });
    if (tokens >= 1) return;
    const retryAfterMs = Math.ceil(((1 - tokens) / perSecond) * secondMs);
    throw new Overloaded(`${name} sends more than ${perSecond} calls a second.`, retryAfterMs);
  }
}
