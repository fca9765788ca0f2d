import type { AppliedRevision } from './virtualEntry.js';

/** Counts the entries of a history whose revision is not newer than the one before. */
export function countReverts(history: readonly AppliedRevision[]): number {
  return history.filter(
    ({ revision }, index) => index > 0 && revision <= history[index - 1]!.revision,
  ).length;
}
