import { toFailure } from '@laburnumstream/common';
import type { Log } from '@laburnumstream/common';

/** Process exit codes. */
export const ExitCode = { success: 0, failure: 1, usage: 2 } as const;

/**
 * Runs `stop` once on SIGTERM or SIGINT and exits the process. The exit code is `success` only if
 * `stop` completes within `limitMs`.
 */
export function onShutdown(stop: () => Promise<void>, limitMs: number, log: Log): void {
  let stopping = false;
  const shutDown = (): void => {
    if (stopping) return;
    stopping = true;
    log.info('Shutdown started.');
    setTimeout(() => {
      log.error('Shutdown timed out; in-flight work was aborted.', { limitMs });
      process.exit(ExitCode.failure);
    }, limitMs).unref();
    stop().then(
      () => {
        log.info('Shutdown complete.');
        process.exit(ExitCode.success);
      },
      (error: unknown) => {
        log.error('Shutdown failed.', { reason: String(error) });
        process.exit(ExitCode.failure);
      },
    );
  };
  process.on('SIGTERM', shutDown);
  process.on('SIGINT', shutDown);
}

/** Runs `reload` on each SIGHUP; if the settings are invalid, the current ones remain in effect. */
export function onReload(reload: () => void, log: Log): void {
  process.on('SIGHUP', () => {
    try {
      reload();
    } catch (error) {
      log.error('Failed to reload settings.', { reason: toFailure(error).message });
    }
  });
}
