import { countReverts } from '@laburnumstream/bench';
import type { VirtualFleet } from '@laburnumstream/bench';
import type { Told } from './changeHistory.js';

/**
 * Faults of a run after everything has healed: processes that went back, and accepted changes that
 * are not in force in a living process.
 */
export function faultsOfSpread(fleet: VirtualFleet, told: readonly Told[]): string[] {
  const reverts = fleet.histories.reduce((sum, history) => sum + countReverts(history), 0);
  const faults = reverts > 0 ? [`${reverts} reverts`] : [];
  const accepted = told.flatMap(({ changeId, outcome }) =>
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
