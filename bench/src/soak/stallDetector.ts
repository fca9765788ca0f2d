import type { SoakHistory } from './history.js';

const checkIntervalMs = 50;
/** Lateness of a check that counts as a stall of this process, in milliseconds. */
const stallThresholdMs = 250;

/**
 * Detects stalls of the soak process and records them as faults: its engines were silent
 * meanwhile, and the programs under test may have stalled too.
 */
export class StallDetector {
  /** Number of detected stalls. */
  count = 0;

  /** Longest lateness of a check, in milliseconds. */
  maxStallMs = 0;

  private readonly timer: NodeJS.Timeout;

  constructor(history: SoakHistory, names: readonly string[]) {
    let last = history.now();
    this.timer = setInterval(() => {
      const lateMs = history.now() - last - checkIntervalMs;
      last = history.now();
      this.maxStallMs = Math.max(this.maxStallMs, Math.round(lateMs));
      if (lateMs < stallThresholdMs) return;
      this.count += 1;
      history.beginFault(names)();
    }, checkIntervalMs);
  }

  stop(): void {
    clearInterval(this.timer);
  }
}
