import type { Clock } from '@laburnumstream/common';
import type { VirtualClock } from '@laburnumstream/standins';

/** A span in which an instance stands still. */
export interface Sleep {
  readonly atMs: number;
  readonly forMs: number;
}

/** A clock whose instance stands still in spans: its monotonic time stops and its timers wait. */
export class SleepingClock implements Clock {
  constructor(
    private readonly clock: VirtualClock,
    /** Spans of sleep by their beginnings. */
    private readonly sleeps: readonly Sleep[],
  ) {}

  now(): number {
    const now = this.clock.now();
    let sleptMs = 0;
    let sleptUntil = 0;
    this.sleeps.forEach(({ atMs, forMs }) => {
      const from = Math.max(atMs, sleptUntil);
      const until = Math.min(atMs + forMs, now);
      sleptMs += Math.max(0, until - from);
      sleptUntil = Math.max(sleptUntil, until);
    });
    return now - sleptMs;
  }

  wall(): number {
    return this.clock.wall();
  }

  /** End of the span in which the instance sleeps at a time; undefined when it is awake. */
  sleepEndAt(at: number): number | undefined {
    const ends = this.sleeps
      .filter(({ atMs, forMs }) => at >= atMs && at < atMs + forMs)
      .map(({ atMs, forMs }) => atMs + forMs);
    return ends.length > 0 ? Math.max(...ends) : undefined;
  }

  async sleep(ms: number, signal?: AbortSignal): Promise<void> {
    await this.clock.sleep(ms, signal);
    await this.awake(signal);
  }

  async awake(signal?: AbortSignal): Promise<void> {
    for (;;) {
      const end = this.sleepEndAt(this.clock.now());
      if (end === undefined) return;
      await this.clock.sleep(end - this.clock.now(), signal);
    }
  }
}
