import { NotFound, toFailure } from '@laburnumstream/common';
import type { Clock, KeyValueStore, Log, Metrics } from '@laburnumstream/common';
import { StoreCall, StoreCallCounter } from './storeCallCounter.js';

/** Renewals per lease duration. */
const renewalsPerLease = 3;
/** Delay before a failed call is retried, in milliseconds. */
const retryDelayMs = 1_000;
/** Time without a response after which the connection of a call may be dead, in milliseconds. */
const overdueMs = 300;
/** Minimum time between the starts of two calls, in milliseconds. */
const minIntervalMs = 100;

/** Keeps this entry registered in the store, so that entries know how many share fleet-wide limits. */
export class EntryRegistration {
  private lease: string | undefined;

  private isWithdrawn = false;

  /** Whether the last call has failed. */
  private isFailing = false;

  /** Monotonic time at which the call in progress began, in milliseconds; undefined between calls. */
  private calledAt: number | undefined;

  /** Ends the call in progress or the pause after a failed one; each once. */
  private interruption = new AbortController();

  private readonly callCounter: StoreCallCounter;

  constructor(
    private readonly store: KeyValueStore,
    private readonly key: string,
    private readonly value: string,
    private readonly leaseMs: number,
    private readonly clock: Clock,
    metrics: Metrics,
    private readonly log: Log,
  ) {
    this.callCounter = new StoreCallCounter(metrics);
  }

  /** Maintains the registration until the signal is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    let wasInterrupted = false;
    while (!signal.aborted && !this.isWithdrawn) {
      const interruption = new AbortController();
      this.interruption = interruption;
      const ended = AbortSignal.any([signal, interruption.signal]);
      // A call that replaces another one has its whole time, as the store may be slow.
      const callEnd: AbortSignal = wasInterrupted ? signal : ended;
      const delayMs = await this.renew(callEnd);
      wasInterrupted = callEnd.aborted;
      await this.clock.sleep(minIntervalMs, signal).catch(() => undefined);
      const pauseEnd = this.isFailing ? ended : signal;
      await this.clock.sleep(delayMs - minIntervalMs, pauseEnd).catch(() => undefined);
    }
  }

  /**
   * Handles a response of the store, to this entry or to another one. A call that has failed, or that has no response
   * yet, is made again at once: its connection may be dead, and the lease may end before the next one is due.
   */
  handleStoreResponse(): void {
    const inProgressMs = this.calledAt === undefined ? 0 : this.clock.now() - this.calledAt;
    if (this.isFailing || inProgressMs > overdueMs) this.interruption.abort();
  }

  /** Removes the registration when this entry stops taking requests. */
  async withdraw(): Promise<void> {
    const { lease } = this;
    this.isWithdrawn = true;
    this.lease = undefined;
    try {
      if (lease) await this.store.revokeLease(lease);
    } catch (error) {
      this.log.info('Registration not removed; its lease will expire.', {
        type: toFailure(error).type,
      });
    }
  }

  /** Renews the lease, or registers again; returns the delay until the next call, in milliseconds. */
  private async renew(signal: AbortSignal): Promise<number> {
    this.calledAt = this.clock.now();
    try {
      if (this.lease) await this.renewLease(this.lease, signal);
      if (!this.lease) await this.register(signal);
      this.callCounter.countSuccess(StoreCall.lease);
      this.isFailing = false;
      return this.leaseMs / renewalsPerLease;
    } catch (error) {
      this.isFailing = true;
      if (signal.aborted) return minIntervalMs;
      const failure = toFailure(error);
      this.log.info('Registration not renewed.', { type: failure.type });
      this.callCounter.countFailure(StoreCall.lease, error);
      return retryDelayMs;
    } finally {
      this.calledAt = undefined;
    }
  }

  /** Renews the lease, or forgets one that has ended. */
  private async renewLease(lease: string, signal: AbortSignal): Promise<void> {
    try {
      await this.store.renewLease(lease, signal);
    } catch (error) {
      if (!(toFailure(error) instanceof NotFound)) throw error;
      this.lease = undefined;
    }
  }

  private async register(signal: AbortSignal): Promise<void> {
    const lease = await this.store.grantLease(this.leaseMs, signal);
    await this.store.put(this.key, this.value, { lease }, signal);
    this.lease = lease;
    this.log.info('Registered.', { key: this.key });
    if (this.isWithdrawn) await this.withdraw();
  }
}
