import type { Random } from '@laburnumstream/common';

/** Time over which callers come back after a pause of all endpoints, in milliseconds. */
const spreadMs = 700;

/**
 * Returns the delay after which a caller is asked to retry when all endpoints pause, in milliseconds:
 * the rest of the shortest pause and some jitter, up to the longest delay that its caller accepts.
 */
export function pauseRetryDelayMs(pauseLeftMs: number, maxDelayMs: number, random: Random): number {
  if (pauseLeftMs >= maxDelayMs) return maxDelayMs;
  return pauseLeftMs + random.next() * Math.min(spreadMs, maxDelayMs - pauseLeftMs);
}
