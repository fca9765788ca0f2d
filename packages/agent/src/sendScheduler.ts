import type { BandwidthLimiter } from './bandwidthLimiter.js';

interface QueuedSend {
  readonly priority: number;
  readonly start: () => void;
}

/** Schedules chunk sends one at a time within a bandwidth limit, lowest priority number first. */
export class SendScheduler {
  private readonly queue: QueuedSend[] = [];

  private busy = false;

  constructor(private readonly limiter: BandwidthLimiter) {}

  /** Resolves to true when the chunk may be sent, to false when `signal` fired first. */
  async awaitTurn(bytes: number, priority: number, signal: AbortSignal): Promise<boolean> {
    if (this.busy) await this.enqueue(priority, signal);
    if (signal.aborted) return false;
    this.busy = true;
    try {
      await this.limiter.acquire(bytes);
    } finally {
      this.busy = false;
      this.startNext();
    }
    return !signal.aborted;
  }

  private enqueue(priority: number, signal: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      const queued = { priority, start: resolve };
      const removeFromQueue = (): void => {
        const index = this.queue.indexOf(queued);
        if (index < 0) return;
        this.queue.splice(index, 1);
        resolve();
      };
      this.queue.push(queued);
      signal.addEventListener('abort', removeFromQueue, { once: true });
    });
  }

  private startNext(): void {
    const [next] = this.queue.sort((a, b) => a.priority - b.priority);
    if (!next) return;
    this.queue.shift();
    // Stay busy, so that no new caller gets ahead of the queued one.
    this.busy = true;
    next.start();
  }
}
