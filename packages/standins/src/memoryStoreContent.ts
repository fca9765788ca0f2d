import type { StoredValue } from '@laburnumstream/common';

/** A lease and the keys that are removed when it ends. */
interface MemoryLease {
  readonly ttlMs: number;
  endsAt: number;
  readonly keys: Set<string>;
}

/** The content of an in-memory store, shared by several clients. */
export class MemoryStoreContent {
  values = new Map<string, StoredValue>();

  revision = 0;

  /** Whether conditional writes check their condition; false injects a fault for tests to detect. */
  checksConditions = true;

  readonly watchers = new Set<() => void>();

  readonly leases = new Map<string, MemoryLease>();

  /** Calls handled; a long-polling watch counts as one. */
  calls = 0;

  grantLease(ttlMs: number, now: number): string {
    this.revision += 1;
    const id = `lease-${this.revision}`;
    this.leases.set(id, { ttlMs, endsAt: now + ttlMs, keys: new Set() });
    return id;
  }

  /** Ends a lease and removes its keys. */
  endLease(id: string): void {
    this.leases.get(id)?.keys.forEach((key) => this.values.delete(key));
    this.leases.delete(id);
  }

  /** Ends the leases whose time is over. */
  expireLeases(now: number): void {
    this.leases.forEach(({ endsAt }, id) => {
      if (endsAt <= now) this.endLease(id);
    });
  }

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
