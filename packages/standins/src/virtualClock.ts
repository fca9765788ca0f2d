import { setImmediate as nextImmediate } from 'node:timers/promises';
import { Aborted } from '@laburnumstream/common';
import type { Clock } from '@laburnumstream/common';

interface Timer {
  readonly at: number;
  readonly sequence: number;
  readonly callback: () => void;
}

/** A clock that advances only on request, so that equal seeds give equal runs. */
export class VirtualClock implements Clock {
  /** A binary heap ordered by time, then by order of creation. */
  private readonly timers: Timer[] = [];

  private time = 0;

  private timersCreated = 0;

  constructor(private readonly wallStart = 1_700_000_000_000) {}

  now(): number {
    return this.time;
  }

  wall(): number {
    return this.wallStart + Math.floor(this.time);
  }

  sleep(ms: number, signal?: AbortSignal): Promise<void> {
    return new Promise((resolve, reject) => {
      if (signal?.aborted) {
        reject(new Aborted());
        return;
      }
      const stop = (): void => reject(new Aborted());
      const wake = (): void => {
        signal?.removeEventListener('abort', stop);
        resolve();
      };
      signal?.addEventListener('abort', stop, { once: true });
      this.schedule(this.time + ms, wake);
    });
  }

  /** Schedules a callback for a time; past times mean now. */
  schedule(time: number, callback: () => void): void {
    this.timersCreated += 1;
    this.push({ at: Math.max(time, this.time), sequence: this.timersCreated, callback });
  }

  /** Advances to a time and runs the callbacks due until then. */
  async runUntil(time: number): Promise<void> {
    await nextImmediate();
    while (this.timers[0] && this.timers[0].at <= time) {
      const { at, callback } = this.pop();
      this.time = at;
      callback();
      if (this.timers[0]?.at !== at) await nextImmediate();
    }
    this.time = time;
  }

  /** Advances until a promise settles, by at most `limitMs`. */
  async runUntilSettled<Value>(promise: Promise<Value>, limitMs = 600_000): Promise<Value> {
    const limit = this.time + limitMs;
    const state = { settled: false };
    const settle = (): void => {
      state.settled = true;
    };
    promise.then(settle, settle);
    await nextImmediate();
    while (!state.settled && this.timers[0] && this.timers[0].at <= limit) {
      await this.runUntil(this.timers[0].at);
    }
    return promise;
  }

  private push(timer: Timer): void {
    const { timers } = this;
    let index = timers.length;
    timers.push(timer);
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (isBefore(timers[parent]!, timer)) break;
      timers[index] = timers[parent]!;
      index = parent;
    }
    timers[index] = timer;
  }

  private pop(): Timer {
    const { timers } = this;
    const first = timers[0]!;
    const last = timers.pop()!;
    if (timers.length === 0) return first;
    let index = 0;
    for (;;) {
      const left = 2 * index + 1;
      if (left >= timers.length) break;
      const right = left + 1;
      const isRight = right < timers.length && isBefore(timers[right]!, timers[left]!);
      const child = isRight ? right : left;
      if (isBefore(last, timers[child]!)) break;
      timers[index] = timers[child]!;
      index = child;
    }
    timers[index] = last;
    return first;
  }
}

function isBefore(a: Timer, b: Timer): boolean {
  return a.at < b.at || (a.at === b.at && a.sequence < b.sequence);
}
