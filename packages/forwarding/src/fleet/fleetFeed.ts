import type { DatedFeed, StoredValue } from '@laburnumstream/common';

/** The store's content for an entry's watcher. */
export interface FleetFeed extends DatedFeed {
  /** Lists the registrations of entries, from the store itself, before the first snapshot. */
  readonly listEntries?: (prefix: string, signal: AbortSignal) => Promise<readonly StoredValue[]>;
}
