import { setMaxListeners } from 'node:events';
import { setTimeout as sleep } from 'node:timers/promises';

/** Waits for a time, or until the signal fires. */
export async function pause(ms: number, signal: AbortSignal): Promise<void> {
  await sleep(ms, undefined, { signal }).catch(() => undefined);
}

/** A signal that fires with either, for any number of listeners. */
export function anyOf(...signals: AbortSignal[]): AbortSignal {
  const signal = AbortSignal.any(signals);
  setMaxListeners(0, signal, ...signals);
  return signal;
}
