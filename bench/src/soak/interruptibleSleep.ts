import { setMaxListeners } from 'node:events';
import { setTimeout as sleep } from 'node:timers/promises';

/** Sleeps for a time, or until the signal fires; never rejects. */
export async function interruptibleSleep(ms: number, signal: AbortSignal): Promise<void> {
  await sleep(ms, undefined, { signal }).catch(() => undefined);
}

/** Combines signals into one that fires with the first of them, without a listener limit. */
export function anySignal(...signals: AbortSignal[]): AbortSignal {
  const signal = AbortSignal.any(signals);
  setMaxListeners(0, signal, ...signals);
  return signal;
}
