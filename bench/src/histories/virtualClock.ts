import { setImmediate as flush } from 'node:timers/promises';
import { Aborted } from '@laburnumstream/common';
import type { Clock } from '@laburnumstream/common';

interface Timer {
  readonly at: number;
  readonly order: number;
  readonly fire: () => void;
}

/** Virtual time that advances only after all work at the current time is done. */
export class VirtualClock implements Clock {
  private timers: Timer[] = [];

  private time = 0;

  private createdCount = 0;

  now(): number {
    return this.time;
  }

  wall(): number {
    return this.time;
  }

  /** Rounds up to whole milliseconds, so that a remaining wait cannot vanish in rounding. */
  at(ms: number, fire: () => void): void {
    this.createdCount += 1;
    this.timers.push({
      at: this.time + Math.ceil(Math.max(0, ms)),
      order: this.createdCount,
      fire,
    });
  }

  sleep(ms: number, signal?: AbortSignal): Promise<void> {
    return new Promise((resolve, reject) => {
      if (signal?.aborted) {
        reject(new Aborted());
        return;
      }
      const onAbort = (): void => reject(new Aborted());
      signal?.addEventListener('abort', onAbort, { once: true });
      this.at(ms, () => {
        signal?.removeEventListener('abort', onAbort);
        resolve();
      });
    });
  }

  /** Runs all timers in order up to `endMs`. */
  async run(endMs: number): Promise<void> {
    await flush();
    for (;;) {
      const next = this.popNext();
      if (!next || next.at > endMs) return;
      this.time = Math.max(this.time, next.at);
      next.fire();
      await flush();
    }
  }

  private popNext(): Timer | undefined {
    let first: Timer | undefined;
    this.timers.forEach((timer) => {
      const isEarlier = !first || timer.at < first.at;
      if (isEarlier || (timer.at === first!.at && timer.order < first!.order)) first = timer;
    });
    this.timers = this.timers.filter((timer) => timer !== first);
    return first;
  }
}
