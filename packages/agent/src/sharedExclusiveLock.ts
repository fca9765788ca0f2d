import { Aborted, Overloaded } from '@laburnumstream/common';
import type { Clock } from '@laburnumstream/common';

const retryAfterMs = 1_000;
/** Longest wait for exclusive access, in milliseconds. */
const maxExclusiveWaitMs = 10_000;
/** Longest wait for shared access, in milliseconds. */
const maxSharedWaitMs = 1_000;

/** Shared/exclusive lock: many requests run concurrently, or one alone. */
export class SharedExclusiveLock {
  private sharedCount = 0;

  private isExclusive = false;

  private readonly exclusiveWaiters = new Set<() => void>();

  private readonly sharedWaiters = new Set<() => void>();

  constructor(private readonly clock: Clock) {}

  /**
   * Acquires the lock and returns its release function; throws `Overloaded` when the wait is too
   * long.
   */
  async acquire(exclusive: boolean, signal: AbortSignal): Promise<() => void> {
    const waiters = exclusive ? this.exclusiveWaiters : this.sharedWaiters;
    const maxWaitMs = exclusive ? maxExclusiveWaitMs : maxSharedWaitMs;
    const deadline = this.clock.now() + maxWaitMs;
    while (!this.canAcquire(exclusive)) {
      if (signal.aborted) throw new Aborted();
      const remainingMs = deadline - this.clock.now();
      if (remainingMs <= 0) throw new Overloaded('A request runs alone.', retryAfterMs);
      await this.waitForWake(waiters, remainingMs, signal);
    }
    return this.grant(exclusive);
  }

  /** An exclusive waiter holds back new shared requests, so that it does not starve. */
  private canAcquire(exclusive: boolean): boolean {
    if (this.isExclusive) return false;
    return exclusive ? this.sharedCount === 0 : this.exclusiveWaiters.size === 0;
  }

  private grant(exclusive: boolean): () => void {
    if (exclusive) this.isExclusive = true;
    else this.sharedCount += 1;
    let released = false;
    return () => {
      if (released) return;
      released = true;
      if (exclusive) this.isExclusive = false;
      else this.sharedCount -= 1;
      this.wake();
    };
  }

  private wake(): void {
    if (this.isExclusive) return;
    const [next] = this.exclusiveWaiters;
    if (next && this.sharedCount === 0) next();
    if (!next) this.sharedWaiters.forEach((wake) => wake());
  }

  private async waitForWake(
    waiters: Set<() => void>,
    ms: number,
    signal: AbortSignal,
  ): Promise<void> {
    const settled = new AbortController();
    const limit = AbortSignal.any([signal, settled.signal]);
    let wake: () => void = () => undefined;
    const woken = new Promise<void>((resolve) => {
      wake = resolve;
    });
    waiters.add(wake);
    const timedOut = this.clock.sleep(ms, limit).catch(() => undefined);
    await Promise.race([woken, timedOut]);
    settled.abort();
    waiters.delete(wake);
    this.wake();
  }
}
