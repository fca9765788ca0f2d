import type { Clock, KeyValueStore } from '@laburnumstream/common';
import type { ClaimLease } from '@laburnumstream/decisions';

/** Share of the keeping time for which new claims join the same lease. */
const sharedPart = 24;

/**
 * One lease for all claims of a period, so that the store removes old claims by itself and claims
 * cost no clean-up calls.
 */
export class ClaimLeases implements ClaimLease {
  private current: Promise<string> | undefined;

  private grantedAt = -Infinity;

  constructor(
    private readonly store: KeyValueStore,
    private readonly clock: Clock,
    private readonly keepMs: number,
  ) {}

  /** The lease of the present period. */
  acquire(): Promise<string> {
    const period = this.keepMs / sharedPart;
    if (this.current && this.clock.now() - this.grantedAt < period) return this.current;
    this.grantedAt = this.clock.now();
    const granted = this.store.grantLease(this.keepMs + period);
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
