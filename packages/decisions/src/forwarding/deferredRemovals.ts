/** Minimum store outage during which live registrations may have expired, in milliseconds. */
const minOutageMs = 1_000;
/** Time after an outage within which live members register again, in milliseconds. */
const reregistrationMs = 2_000;

/**
 * Defers removals shortly after a store outage, since registrations may have expired only because they
 * couldn't be renewed, or been lost. Live members register again within a short time; the others are removed then.
 */
export class DeferredRemovals<Removal> {
  private deferredUntil = -Infinity;

  private readonly removals = new Map<string, Removal>();

  get hasPending(): boolean {
    return this.removals.size > 0;
  }

  /** Records that the store responds again since `endedAt`, after an outage of `outageMs`. */
  storeRecovered(outageMs: number, endedAt: number): void {
    if (outageMs < minOutageMs) return;
    this.deferredUntil = Math.max(this.deferredUntil, endedAt + reregistrationMs);
  }

  /** Records that the store came back from an older copy, to which its writers write again what it has lost. */
  storeRestored(now: number): void {
    this.deferredUntil = Math.max(this.deferredUntil, now + reregistrationMs);
  }

  /** Defers the removal of an expired registration; returns false when it is to be removed at once. */
  defer(key: string, removal: Removal, now: number): boolean {
    if (now >= this.deferredUntil) return false;
    this.removals.set(key, removal);
    return true;
  }

  /** Cancels a removal after the member registered again. */
  cancel(key: string): void {
    this.removals.delete(key);
  }

  /** Takes the removals whose time to register again has passed. */
  due(now: number): readonly Removal[] {
    if (now < this.deferredUntil || this.removals.size === 0) return [];
    const removals = [...this.removals.values()];
    this.removals.clear();
    return removals;
  }
}
