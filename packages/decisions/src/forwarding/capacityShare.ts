import type { Random } from '@laburnumstream/common';

/** The entries that share the free capacity of an endpoint. */
export interface CapacitySharers {
  /** Entries in the endpoint's region. */
  readonly local: number;
  /** Entries in other regions. */
  readonly remote: number;
  /** Whether this entry is in the endpoint's region. */
  readonly isLocal: boolean;
}

/** Part of the capacity that is reserved for entries in the endpoint's region, if there are any. */
const localPart = 0.75;

/**
 * Number of requests that one entry may send to an endpoint until its next report. All entries learn
 * of the same free capacity at once and would fill it several times over without shares.
 */
export function capacityShare(capacity: number, sharers: CapacitySharers, random: Random): number {
  const { local, remote, isLocal } = sharers;
  if (capacity <= 0) return 0;
  const reserved = local === 0 ? 0 : localPart;
  const part = remote === 0 ? 1 : reserved;
  const share = isLocal
    ? (capacity * part) / Math.max(1, local)
    : (capacity * (1 - reserved)) / Math.max(1, remote);
  // Randomized rounding: the expected value is the exact share.
  return Math.floor(share + random.next());
}
