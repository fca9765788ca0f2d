import type { SoakHistory } from './history.js';

const lookMs = 50;
/** Delay of a look after which this process counts as having stood still, in milliseconds. */
const stallMs = 250;

/**
 * Notes when the soak itself stood still: its engines were silent then, and the programs may have
 * stood still, too.
 */
export class StallWatch {
  /** Times that the soak stood still. */
  count = 0;

  longestMs = 0;

  private readonly timer: NodeJS.Timeout;

  constructor(history: SoakHistory, names: readonly string[]) {
    let last = history.now();
    this.timer = setInterval(() => {
      const lateMs = history.now() - last - lookMs;
      last = history.now();
      this.longestMs = Math.max(this.longestMs, Math.round(lateMs));
      if (lateMs < stallMs) return;
      this.count += 1;
      history.disturb(names)();
    }, lookMs);
  }

  end(): void {
    clearInterval(this.timer);
  }
}
