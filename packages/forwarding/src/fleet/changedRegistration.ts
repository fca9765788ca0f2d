import type { FleetChange } from './fleetChange.js';

/** The registration or evacuation that a change concerns; without a key for changes of other kinds. */
export interface Registration {
  readonly key?: string;
  /** Whether the registration was removed. */
  readonly isGone?: boolean;
}

/** Returns the registration or evacuation that a change concerns. */
export function getRegistration(change: FleetChange): Registration {
  if (change.kind === 'endpoint') {
    return { key: `endpoint ${change.id}`, isGone: change.endpoint === undefined };
  }
  if (change.kind === 'entry') {
    return { key: `entry ${change.name}`, isGone: change.location === undefined };
  }
  if (change.kind === 'evacuation') return { key: `evacuation ${change.dataCentre}` };
  return {};
}
