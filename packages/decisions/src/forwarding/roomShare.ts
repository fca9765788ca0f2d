import type { Random } from '@laburnumstream/common';

/** Entries that share the room of an endpoint. */
export interface CapacitySharers {
  /** Entries in the endpoint's own region. */
  readonly local: number;
  /** Entries in other regions. */
  readonly remote: number;
  /** Whether this entry is one of the near ones. */
  readonly isLocal: boolean;
}

/** Part of the room that belongs to entries of the endpoint's region. */
const nearPart = 0.75;

/**
 * Requests that one entry may send to an endpoint until its next report. All entries hear of the same
 * room at once: without shares they would fill it several times over.
 */
export function capacityShare(room: number, sharers: CapacitySharers, random: Random): number {
  const { local: near, remote: far, isLocal: isNear } = sharers;
  if (room <= 0) return 0;
  const part = far === 0 || near === 0 ? 1 : nearPart;
  const share = isNear ? (room * part) / Math.max(1, near) : (room * (1 - part)) / Math.max(1, far);
  // What is left of a whole number goes to entries at random.
  return Math.floor(share + random.next());
}
