import { operationEnded } from '@laburnumstream/common';

/** Lets loops wait until something has changed, instead of looking again and again. */
export class Notifier {
  private readonly waiting = new Set<() => void>();

  /** Wakes everyone who waits. */
  notify(): void {
    const wakes = [...this.waiting];
    this.waiting.clear();
    wakes.forEach((wake) => wake());
  }

  /** Resolves at the next change, or after `ms`; rejects with `Aborted` when the signal fires. */
  wait(ms: number, signal: AbortSignal): Promise<void> {
    return new Promise((resolve, reject) => {
      if (signal.aborted) {
        reject(operationEnded);
        return;
      }
      const timer = setTimeout(wake, ms);
      const { waiting } = this;
      signal.addEventListener('abort', stop, { once: true });
      waiting.add(wake);

      function leave(): void {
        clearTimeout(timer);
        waiting.delete(wake);
        signal.removeEventListener('abort', stop);
      }

      function wake(): void {
        leave();
        resolve();
      }

      function stop(): void {
        leave();
        reject(operationEnded);
      }
    });
  }
}
