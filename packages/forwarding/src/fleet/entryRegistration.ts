import { NotFound, toFailure } from '@laburnumstream/common';
import type { Clock, KeyValueStore, Log, Metrics } from '@laburnumstream/common';
import { StoreCall, StoreCallCounter } from './storeCallCounter.js';

/** Renewals per lease duration. */
const renewalsPerLease = 3;
/** Delay before a failed call is retried, in milliseconds. */
const retryDelayMs = 1_000;

/** Keeps this entry registered in the store, so that entries know how many share fleet-wide limits. */
export class EntryRegistration {
  private lease: string | undefined;

  private isWithdrawn = false;

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
    while (!signal.aborted && !this.isWithdrawn) {
      const delayMs = await this.renew(signal);
      await this.clock.sleep(delayMs, signal).catch(() => undefined);
    }
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
    try {
      if (this.lease) await this.store.renewLease(this.lease, signal);
      else await this.register(signal);
      this.callCounter.countSuccess(StoreCall.lease);
      return this.leaseMs / renewalsPerLease;
    } catch (error) {
      const failure = toFailure(error);
      if (failure instanceof NotFound) this.lease = undefined;
      if (!signal.aborted) this.log.info('Registration not renewed.', { type: failure.type });
      this.callCounter.countFailure(StoreCall.lease, error);
      return retryDelayMs;
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
