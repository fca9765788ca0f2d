import { countReverts } from '@laburnumstream/bench';
import type { VirtualFleet } from '@laburnumstream/bench';
import type { ChangeOutcome } from './changeOutcomes.js';

/**
 * Finds violations after all injected faults of a run have ended: processes whose revision went
 * back, and accepted changes that a live process has not applied.
 */
export function findSpreadFaults(
  fleet: VirtualFleet,
  outcomes: readonly ChangeOutcome[],
): string[] {
  const reverts = fleet.histories.reduce((sum, history) => sum + countReverts(history), 0);
  const faults = reverts > 0 ? [`${reverts} reverts`] : [];
  const accepted = outcomes.flatMap(({ changeId, outcome }) =>
    typeof outcome === 'number' ? [{ changeId, revision: outcome }] : [],
  );
  const newest = Math.max(0, ...accepted.map(({ revision }) => revision));
  fleet.entries
    .filter(({ isAlive }) => isAlive)
    .forEach(({ instance, keeper: { configuration } }) => {
      const { revision, audit } = configuration;
      if (revision < newest) faults.push(`${instance.name} is behind at ${revision}`);
      const known = new Set(audit.map((record) => record.changeId));
      const oldest = audit[0]?.revision ?? 0;
      accepted
        .filter((change) => change.revision >= oldest && !known.has(change.changeId))
        .forEach(({ changeId }) => faults.push(`${changeId} was lost in ${instance.name}`));
    });
  fleet.agents.forEach(({ history }) => {
    const revision = history[history.length - 1]?.revision ?? 0;
    if (revision < newest) faults.push(`an agent is behind at ${revision}`);
  });
  return faults;
}
