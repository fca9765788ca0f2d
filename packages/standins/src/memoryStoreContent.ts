import type { StoredValue } from '@laburnumstream/common';

/** The content of an in-memory store, shared by several clients. */
export class MemoryStoreContent {
  values = new Map<string, StoredValue>();

  revision = 0;

  /** Whether conditional writes check their condition; false injects a fault for tests to detect. */
  checksConditions = true;

  readonly watchers = new Set<() => void>();

  /** Calls handled; a long-polling watch counts as one. */
  calls = 0;

  /** Returns a copy of all values for a later {@link restore}. */
  snapshot(): { values: Map<string, StoredValue>; revision: number } {
    return { values: new Map(this.values), revision: this.revision };
  }

  /** Reverts the store to an earlier snapshot. */
  restore({ values, revision }: ReturnType<MemoryStoreContent['snapshot']>): void {
    this.values = new Map(values);
    this.revision = revision;
  }
}
