import { Overloaded } from '@laburnumstream/common';

const secondMs = 1_000;

/** A rate and how much of it may come at once. */
export interface RateLimit {
  readonly perSecond: number;
  readonly burst: number;
}

/** Bounds the rate of calls by name with one token bucket each. */
export class RateLimiter {
  private readonly buckets = new Map<string, { tokens: number; at: number }>();

  constructor(private readonly bound: RateLimit) {}

  /** Takes one call of a name at a time in milliseconds; throws `Overloaded`. */
  take(name: string, nowMs: number): void {
    const { perSecond, burst } = this.bound;
    const bucket = this.buckets.get(name) ?? { tokens: burst, at: nowMs };
    const refilled = bucket.tokens + ((nowMs - bucket.at) / secondMs) * perSecond;
    const tokens = Math.min(burst, refilled);
    this.buckets.set(name, { tokens: Math.max(0, tokens - 1), at: nowMs });
    if (tokens >= 1) return;
    const retryAfterMs = Math.ceil(((1 - tokens) / perSecond) * secondMs);
    throw new Overloaded(`${name} sends more than ${perSecond} calls a second.`, retryAfterMs);
  }
}
