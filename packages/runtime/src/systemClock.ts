import { operationEnded } from '@laburnumstream/common';
import type { Clock, Random } from '@laburnumstream/common';

/** The system's monotonic and wall clocks. */
export class SystemClock implements Clock {
  now(): number {
    return performance.now();
  }

  wall(): number {
    return Date.now();
  }

  sleep(ms: number, signal?: AbortSignal): Promise<void> {
    return new Promise((resolve, reject) => {
      if (signal?.aborted) {
        reject(operationEnded);
        return;
      }
      const timer = setTimeout(elapse, ms);
      signal?.addEventListener('abort', stop, { once: true });

      function elapse(): void {
        signal?.removeEventListener('abort', stop);
        resolve();
      }

      function stop(): void {
        clearTimeout(timer);
        reject(operationEnded);
      }
    });
  }
}

/** The JavaScript engine's random numbers. */
export const systemRandom: Random = { next: Math.random };
