import { Conflict, NotFound, toFailure } from '@laburnumstream/common';
import type { Clock, KeyValueStore } from '@laburnumstream/common';

/** A held slot: permits switching one endpoint's weights until the lease expires. */
export interface Slot {
  readonly key: string;
  readonly leaseId: string;
  /** Fencing number of orders sent under this slot: the revision of its key. */
  readonly fencingNumber: number;
  /** Monotonic time from which the lease is treated as expired, in milliseconds. */
  expiresAt: number;
}

/** Share of a lease left unused, to allow for clock drift and call latency. */
const safetyMarginShare = 0.2;
/** Renewals within one lease time. */
const renewalsPerLease = 4;

/** Limits concurrent weight switches with leased slots in the key-value service. */
export class SwitchSlots {
  constructor(
    private readonly store: KeyValueStore,
    private readonly clock: Clock,
    readonly leaseMs: number,
    private readonly holder: string,
  ) {}

  /**
   * Acquires one of the slots of a group, or returns undefined when all are taken. An attempt costs
   * the store one read; it writes only when the read shows a free slot.
   */
  async acquire(group: string, count: number, signal: AbortSignal): Promise<Slot | undefined> {
    const prefix = `laburnumstream/slots/${group}/`;
    const taken = new Set((await this.store.list(prefix, signal)).map(({ key }) => key));
    const keys = Array.from({ length: count }, (_, number) => `${prefix}${number}`);
    const free = keys.filter((key) => !taken.has(key));
    return free.length > 0 ? this.createSlot(free, signal) : undefined;
  }

  private async createSlot(
    free: readonly string[],
    signal: AbortSignal,
  ): Promise<Slot | undefined> {
    const requestedAt = this.clock.now();
    const leaseId = await this.store.grantLease(this.leaseMs, signal);
    for (const key of free) {
      try {
        const condition = { ifRevision: 0, lease: leaseId };
        const fencingNumber = await this.store.put(key, this.holder, condition, signal);
        return { key, leaseId, fencingNumber, expiresAt: this.expiryFrom(requestedAt) };
      } catch (error) {
        if (error instanceof NotFound) return undefined;
        if (!(error instanceof Conflict)) throw error;
      }
    }
    await this.store.revokeLease(leaseId, signal);
    return undefined;
  }

  /** Whether the slot is certainly still held. */
  isHeld(slot: Slot): boolean {
    return this.clock.now() < slot.expiresAt;
  }

  /**
   * Runs `work` and renews the lease of the slot meanwhile. The signal passed to `work` fires when
   * the lease may have expired, so that no order outlives it.
   */
  async runWhileHeld<Result>(
    slot: Slot,
    signal: AbortSignal,
    work: (signal: AbortSignal) => Promise<Result>,
  ): Promise<Result> {
    const finished = new AbortController();
    const expired = new AbortController();
    const running = AbortSignal.any([signal, finished.signal, expired.signal]);
    const ends = [this.renew(slot, running), this.watchExpiry(slot, running)];
    void Promise.race(ends).then(() => expired.abort());
    try {
      return await work(AbortSignal.any([signal, expired.signal]));
    } finally {
      finished.abort();
    }
  }

  async release(slot: Slot): Promise<void> {
    await this.store.revokeLease(slot.leaseId);
  }

  /** Resolves once the lease may have expired, also while a renewal has no answer yet. */
  private async watchExpiry(slot: Slot, signal: AbortSignal): Promise<void> {
    while (!signal.aborted && this.isHeld(slot)) {
      const remainingMs = slot.expiresAt - this.clock.now();
      await this.clock.sleep(Math.max(1, remainingMs), signal).catch(() => undefined);
    }
  }

  /** Renews the lease at intervals; resolves when the store no longer has it. */
  private async renew(slot: Slot, signal: AbortSignal): Promise<void> {
    for (;;) {
      await this.clock.sleep(this.leaseMs / renewalsPerLease, signal).catch(() => undefined);
      if (signal.aborted || !this.isHeld(slot)) return;
      const requestedAt = this.clock.now();
      try {
        await this.store.renewLease(slot.leaseId, signal);
        Object.assign(slot, { expiresAt: this.expiryFrom(requestedAt) });
      } catch (error) {
        if (toFailure(error) instanceof NotFound) return;
      }
    }
  }

  private expiryFrom(requestedAt: number): number {
    return requestedAt + this.leaseMs * (1 - safetyMarginShare);
  }
}
