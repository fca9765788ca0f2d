const ignore = (): void => undefined;

/**
 * A signal that fires after a time, or with its owner. The runtime collects a timeout that only a
 * combined signal refers to, and it never fires then; with a listener of its own it stays.
 */
export function createTimeoutSignal(limitMs: number, owner?: AbortSignal): AbortSignal {
  const timeout = AbortSignal.timeout(limitMs);
  if (!owner) return timeout;
  timeout.addEventListener('abort', ignore, { once: true });
  return AbortSignal.any([owner, timeout]);
}
