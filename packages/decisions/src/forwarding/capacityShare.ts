import type { Random } from '@laburnumstream/common';

/** The entries that share the free capacity of an endpoint. */
export interface CapacitySharers {
  /** Entries in the endpoint's region. */
  readonly local: number;
  /** Entries in other regions. */
  readonly remote: number;
  /** Whether this entry is in the endpoint's region. */
  readonly isLocal: boolean;
  /** Part of the capacity for this entry, where it follows the demand of the regions. */
  readonly ownPart?: number | undefined;
  /** This entry's requests there in excess of its region's part, while the endpoint has no free capacity. */
  readonly excess?: number | undefined;
}

/** Part of the capacity that is reserved for entries in the endpoint's region, if there are any. */
const localPart = 0.75;

/** Part of the capacity for this entry if the demand of the regions is not known. */
function getFixedPart({ local, remote, isLocal }: CapacitySharers): number {
  const reserved = local === 0 ? 0 : localPart;
  const part = remote === 0 ? 1 : reserved;
  return isLocal ? part / Math.max(1, local) : (1 - reserved) / Math.max(1, remote);
}

/**
 * Number of requests that one entry may send to an endpoint until its next report. All entries learn
 * of the same free capacity at once and would fill it several times over without shares. It is negative
 * where as many of the entry's requests have to end before it may send again.
 */
export function capacityShare(capacity: number, sharers: CapacitySharers, random: Random): number {
  const { ownPart = getFixedPart(sharers), excess = 0 } = sharers;
  // Randomized rounding: the expected value is the exact share.
  if (capacity <= 0) return excess > 0 ? -Math.floor(excess + random.next()) : 0;
  return Math.floor(capacity * ownPart + random.next());
}
