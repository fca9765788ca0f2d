import type { BalancedCompletion } from './balancer.js';

/** Prints the number of failures of each kind, one line per kind. */
export function reportFailures(outcomes: readonly BalancedCompletion[]): void {
  const counts = new Map<string, number>();
  outcomes.forEach(({ status, connectionError, error }) => {
    const kind = `${status} ${connectionError} ${String(error?.type ?? '')} ${String(error?.message ?? '')}`;
    counts.set(kind, (counts.get(kind) ?? 0) + 1);
  });
  counts.forEach((count, kind) => process.stderr.write(`failed ${count} times: ${kind}\n`));
}
