import type { Clock, KeyValueStore } from '@laburnumstream/common';
import type { ClaimLease } from '@laburnumstream/decisions';

/** Leases granted during one retention time; new claims share the lease of the current period. */
const periodsPerRetention = 24;

/**
 * One lease for all claims of a period, so that the store expires old claims by itself and no
 * clean-up calls are needed.
 */
export class SharedClaimLease implements ClaimLease {
  private current: Promise<string> | undefined;

  private grantedAt = -Infinity;

  constructor(
    private readonly store: KeyValueStore,
    private readonly clock: Clock,
    private readonly retentionMs: number,
  ) {}

  /** Id of the lease of the current period. */
  acquire(): Promise<string> {
    const periodMs = this.retentionMs / periodsPerRetention;
    if (this.current && this.clock.now() - this.grantedAt < periodMs) return this.current;
    this.grantedAt = this.clock.now();
    const granted = this.store.grantLease(this.retentionMs + periodMs);
    this.current = granted;
    granted.catch(() => {
      if (this.current === granted) this.invalidate();
    });
    return granted;
  }

  invalidate(): void {
    this.current = undefined;
  }
}
