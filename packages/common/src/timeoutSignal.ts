const ignore = (): void => undefined;

/**
 * Creates a signal that aborts after `limitMs` or with `owner`. Node garbage-collects a timeout signal
 * that only a combined signal refers to, so that it never fires; a listener of its own keeps it alive.
 */
export function createTimeoutSignal(limitMs: number, owner?: AbortSignal): AbortSignal {
  const timeout = AbortSignal.timeout(limitMs);
  if (!owner) return timeout;
  timeout.addEventListener('abort', ignore, { once: true });
  return AbortSignal.any([owner, timeout]);
}
