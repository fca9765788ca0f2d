import type { Clock } from '@laburnumstream/common';

/** A clock whose time of day can be set, while its monotonic time goes on. */
export class SteppedClock implements Clock {
  /** Difference of the time of day from that of the underlying clock, in milliseconds. */
  stepMs = 0;

  constructor(private readonly clock: Clock) {}

  now(): number {
    return this.clock.now();
  }

  wall(): number {
    return this.clock.wall() + this.stepMs;
  }

  sleep(ms: number, signal?: AbortSignal): Promise<void> {
    return this.clock.sleep(ms, signal);
  }
}
