import { operationEnded } from '@laburnumstream/common';

/** A condition variable: lets loops wait for a change instead of polling. */
export class Notifier {
  private readonly waiters = new Set<() => void>();

  /** Wakes all waiters. */
  notify(): void {
    const wakes = [...this.waiters];
    this.waiters.clear();
    wakes.forEach((wake) => wake());
  }

  /** Resolves on the next notification or after `ms`; rejects with `Aborted` when the signal aborts. */
  wait(ms: number, signal: AbortSignal): Promise<void> {
    return new Promise((resolve, reject) => {
      if (signal.aborted) {
        reject(operationEnded);
        return;
      }
      const timer = setTimeout(wake, ms);
      const { waiters } = this;
      signal.addEventListener('abort', stop, { once: true });
      waiters.add(wake);

      function cleanUp(): void {
        clearTimeout(timer);
        waiters.delete(wake);
        signal.removeEventListener('abort', stop);
      }

      function wake(): void {
        cleanUp();
        resolve();
      }

      function stop(): void {
        cleanUp();
        reject(operationEnded);
      }
    });
  }
}
