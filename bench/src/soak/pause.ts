import { setTimeout as sleep } from 'node:timers/promises';

/** Waits for a time, or until the signal fires. */
export async function pause(ms: number, signal: AbortSignal): Promise<void> {
  await sleep(ms, undefined, { signal }).catch(() => undefined);
}
