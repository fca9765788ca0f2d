import { Failure } from '@laburnumstream/common';
import type { AuditRecord } from '@laburnumstream/decisions';

/** The outcome of a change as reported to its author. */
export interface ChangeOutcome {
  readonly changeId: string;
  /** The revision of an accepted change, otherwise the type of the failure. */
  readonly outcome: number | string;
}

const unknownTypes = ['acceptance_unknown'];

/** Finds contradictions between the outcomes reported to operators and the final audit trail. */
export function findHistoryFaults(
  outcomes: readonly ChangeOutcome[],
  trail: readonly AuditRecord[],
): string[] {
  const faults = trail
    .filter(({ revision }, index) => revision !== index + 1)
    .map(({ revision }, index) => `revision ${revision} is at position ${index + 1}`);
  outcomes.forEach(({ changeId, outcome }) => {
    const records = trail.filter((record) => record.changeId === changeId);
    const isAccepted = typeof outcome === 'number';
    if (records.length > 1) faults.push(`${changeId} was applied ${records.length} times`);
    if (isAccepted && records[0]?.revision !== outcome) faults.push(`${changeId} was lost`);
    const isRefused = !isAccepted && !unknownTypes.includes(outcome);
    if (isRefused && records.length > 0) faults.push(`${changeId} was refused but was applied`);
  });
  return faults;
}

/** Awaits a change and records the outcome that its author sees. */
export async function recordOutcome(
  changeId: string,
  change: Promise<{ readonly revision: number }>,
): Promise<ChangeOutcome> {
  try {
    return { changeId, outcome: (await change).revision };
  } catch (error) {
    if (!(error instanceof Failure)) throw error;
    return { changeId, outcome: error.type };
  }
}
