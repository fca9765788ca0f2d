import { LinkLost, LinkedAbort, OutcomeUnknown, toFailure } from '@laburnumstream/common';
import type { Clock } from '@laburnumstream/common';

/**
 * Aborts a stream when its connection delivers nothing for `timeoutMs` while the reader waits.
 * Hot path: each item reads the clock once and never resets the timer.
 */
export class StreamWatchdog {
  private readonly abort: LinkedAbort;

  /**
   * Monotonic time since which the reader has been waiting for an item, in milliseconds; undefined
   * while it processes one.
   */
  private waitingSince: number | undefined;

  private timedOut = false;

  constructor(
    private readonly clock: Clock,
    private readonly timeoutMs: number,
    parentSignal: AbortSignal,
    private readonly onTimeout: () => void,
  ) {
    this.abort = new LinkedAbort(parentSignal);
    this.runTimer().catch(() => undefined);
  }

  /** Yields the items of `source`; throws `LinkLost` when the connection breaks or goes silent. */
  async *wrap<Item>(source: AsyncIterable<Item>): AsyncGenerator<Item> {
    const iterator = source[Symbol.asyncIterator]();
    try {
      for (;;) {
        const next = await this.readNext(iterator);
        if (next.done) return;
        yield next.value;
      }
    } finally {
      void iterator.return?.();
    }
  }

  /** Fires when the connection goes silent, the parent aborts or the watchdog is stopped. */
  get signal(): AbortSignal {
    return this.abort.signal;
  }

  stop(): void {
    this.abort.end();
  }

  /** Only waits count, so that a slow reader does not look like a silent connection. */
  private async readNext<Item>(iterator: AsyncIterator<Item>): Promise<IteratorResult<Item>> {
    this.waitingSince = this.clock.now();
    try {
      return await iterator.next();
    } catch (error) {
      const message = 'The connection to the agent has gone silent.';
      throw new LinkLost(this.timedOut ? new OutcomeUnknown(message, error) : toFailure(error));
    } finally {
      this.waitingSince = undefined;
    }
  }

  private async runTimer(): Promise<void> {
    let silentMs = 0;
    while (silentMs < this.timeoutMs) {
      await this.clock.sleep(Math.ceil(this.timeoutMs - silentMs), this.signal);
      const since = this.waitingSince;
      silentMs = since === undefined ? 0 : this.clock.now() - since;
    }
    this.timedOut = true;
    this.onTimeout();
    this.abort.end();
  }
}
