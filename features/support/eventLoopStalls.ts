import { performance } from 'node:perf_hooks';

const tickMs = 10;
/** Lateness of a tick above which the event loop counts as stalled, in milliseconds. */
const minStallMs = 20;

/** Sums up the time for which this process did not get to its timers, as beside other load. */
export class EventLoopStalls {
  private stalledMs = 0;

  private lastTick = performance.now();

  private readonly timer = setInterval(() => this.tick(), tickMs);

  /** Ends the measurement and returns the sum, in milliseconds. */
  end(): number {
    clearInterval(this.timer);
    this.tick();
    return this.stalledMs;
  }

  private tick(): void {
    const now = performance.now();
    const lateMs = now - this.lastTick - tickMs;
    if (lateMs > minStallMs) this.stalledMs += lateMs;
    this.lastTick = now;
  }
}
