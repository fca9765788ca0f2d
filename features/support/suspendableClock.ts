import type { Clock } from '@laburnumstream/common';
import type { VirtualClock } from '@laburnumstream/standins';

/** An interval in which an instance is suspended. */
export interface Suspension {
  readonly atMs: number;
  readonly forMs: number;
}

/** Clock of an instance that is suspended at times: monotonic time stops and timers are deferred. */
export class SuspendableClock implements Clock {
  constructor(
    private readonly clock: VirtualClock,
    /** Sorted by start. */
    private readonly suspensions: readonly Suspension[],
  ) {}

  now(): number {
    const now = this.clock.now();
    let suspendedMs = 0;
    let suspendedUntil = 0;
    this.suspensions.forEach(({ atMs, forMs }) => {
      const from = Math.max(atMs, suspendedUntil);
      const until = Math.min(atMs + forMs, now);
      suspendedMs += Math.max(0, until - from);
      suspendedUntil = Math.max(suspendedUntil, until);
    });
    return now - suspendedMs;
  }

  wall(): number {
    return this.clock.wall();
  }

  /** End of the suspension that covers `at`; undefined when the instance runs then. */
  suspensionEndAt(at: number): number | undefined {
    const ends = this.suspensions
      .filter(({ atMs, forMs }) => at >= atMs && at < atMs + forMs)
      .map(({ atMs, forMs }) => atMs + forMs);
    return ends.length > 0 ? Math.max(...ends) : undefined;
  }

  async sleep(ms: number, signal?: AbortSignal): Promise<void> {
    await this.clock.sleep(ms, signal);
    await this.waitUntilResumed(signal);
  }

  /** Waits until the instance isn't suspended. */
  async waitUntilResumed(signal?: AbortSignal): Promise<void> {
    for (;;) {
      const end = this.suspensionEndAt(this.clock.now());
      if (end === undefined) return;
      await this.clock.sleep(end - this.clock.now(), signal);
    }
  }
}
