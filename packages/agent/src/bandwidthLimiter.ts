import type { Clock } from '@laburnumstream/common';

/** Limits the rate at which bytes are transferred. */
export interface BandwidthLimiter {
  /** Resolves when `bytes` bytes fit within the rate. */
  acquire(bytes: number): Promise<void>;
}

const secondMs = 1_000;
/** Idle time whose bandwidth may be used later, so that late timers cost no throughput. */
const burstMs = 100;

/** Limits transfers to a constant rate, with a short burst after an idle time. */
export class ConstantRateLimiter implements BandwidthLimiter {
  private nextFreeAt = 0;

  constructor(
    private readonly clock: Clock,
    private readonly bytesPerSecond: number,
  ) {}

  async acquire(bytes: number): Promise<void> {
    const now = this.clock.now();
    this.nextFreeAt =
      Math.max(this.nextFreeAt, now - burstMs) + (bytes / this.bytesPerSecond) * secondMs;
    const delayMs = this.nextFreeAt - now;
    if (delayMs > 1) await this.clock.sleep(delayMs);
  }
}
