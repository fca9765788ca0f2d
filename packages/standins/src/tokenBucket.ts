import { setTimeout as sleep } from 'node:timers/promises';

const secondMs = 1_000;
const burstMs = 20;

/** Limits the bandwidth of a link; callers queue for transmission at a constant rate. */
export class TokenBucket {
  /** Time at which the link becomes idle, in milliseconds of `performance.now()`. */
  private freeAt = 0;

  constructor(readonly bytesPerSecond: number) {}

  /** Resolves when `bytes` have been transmitted. */
  async consume(bytes: number): Promise<void> {
    const now = performance.now();
    this.freeAt = Math.max(this.freeAt, now - burstMs) + (bytes / this.bytesPerSecond) * secondMs;
    const waitMs = this.freeAt - now;
    if (waitMs > 1) await sleep(waitMs);
  }
}
