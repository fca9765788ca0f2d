import { Conflict, toFailure } from '@laburnumstream/common';
import type { Clock, KeyValueStore, Log, Metrics, Random } from '@laburnumstream/common';
import { quarantineKey } from '@laburnumstream/decisions';
import type { Quarantine, CrashUpdate } from '@laburnumstream/decisions';
import type { CrashGuard, CrashListener } from './crashGuard.js';
import type { FleetChange, FleetCodec, StoredQuarantine } from '../fleet/fleetChange.js';
import { StoreCall, StoreCallCounter } from '../fleet/storeCallCounter.js';

/** Time to live of an entry's record of crashes: others read it at once, or when they start. */
const recordLeaseMs = 60_000;
/** Maximum number of crashes in it. */
const maxRecordedCrashes = 8;
/** Time in which crashes are batched into one write, in milliseconds. */
const batchMs = 100;
const retryDelayMs = 1_000;
/** Time over which the entries spread their writes of the same quarantine, in milliseconds for each. */
const writeSpreadMsPerEntry = 15;

/**
 * Keeps crashes and quarantines in the store, for entries that do not hear this one and for those that
 * start later. Quarantines have no lease: they must outlive all entries.
 */
export class CrashRecords implements CrashListener {
  /** Incarnations of the endpoints whose crashes this entry saw last. */
  private recentCrashes: readonly string[] = [];

  private isRecordChanged = false;

  /** Quarantines to be written, by key. */
  private readonly unwritten = new Map<string, StoredQuarantine>();

  /** Keys of quarantines that the store has as released. */
  private readonly releasedKeys = new Set<string>();

  private isScheduled = false;

  private readonly callCounter: StoreCallCounter;

  constructor(
    private readonly store: KeyValueStore,
    private readonly codec: FleetCodec,
    private readonly instance: string,
    private readonly guard: CrashGuard,
    private readonly entryCount: () => number,
    private readonly clock: Clock,
    private readonly random: Random,
    metrics: Metrics,
    private readonly log: Log,
  ) {
    this.callCounter = new StoreCallCounter(metrics);
    guard.addListener(this);
  }

  onUpdate(update: CrashUpdate): void {
    const endpoints = update.crashes.map(({ endpoint }) => endpoint);
    const older = this.recentCrashes.filter((endpoint) => !endpoints.includes(endpoint));
    this.recentCrashes = [...older, ...endpoints].slice(-maxRecordedCrashes);
    this.isRecordChanged = true;
    this.schedule(batchMs);
  }

  onQuarantine(quarantine: Quarantine): void {
    this.unwritten.set(quarantineKey(quarantine), { quarantine, isReleased: false });
    // All entries quarantine at about the same time; the first one that writes spares the others the call.
    this.schedule(this.random.next() * writeSpreadMsPerEntry * this.entryCount());
  }

  onRelease(quarantine: Quarantine): void {
    this.unwritten.set(quarantineKey(quarantine), { quarantine, isReleased: true });
    this.schedule(0);
  }

  /** Applies a change of the store. */
  apply(change: Extract<FleetChange, { kind: 'crashes' | 'quarantine' }>): void {
    if (change.kind === 'crashes') {
      if (change.update) this.guard.receive(change.update);
    } else if (change.stored) this.applyStored(change.stored);
    else this.restoreMissing();
  }

  private applyStored({ quarantine, isReleased }: StoredQuarantine): void {
    const key = quarantineKey(quarantine);
    if (isReleased) {
      this.releasedKeys.add(key);
      this.guard.release(quarantine);
    } else if (!this.guard.accept(quarantine)) {
      this.unwritten.set(key, { quarantine, isReleased: true });
      this.schedule(0);
      return;
    }
    this.unwritten.delete(key);
  }

  /** Writes quarantines again that the store has lost. */
  private restoreMissing(): void {
    this.guard.quarantines.forEach((quarantine) =>
      this.unwritten.set(quarantineKey(quarantine), { quarantine, isReleased: false }),
    );
    this.schedule(this.random.next() * writeSpreadMsPerEntry * this.entryCount());
  }

  private schedule(delayMs: number): void {
    if (this.isScheduled) return;
    this.isScheduled = true;
    void this.clock.sleep(delayMs).then(async () => {
      const isWritten = await this.write();
      this.isScheduled = false;
      if (!isWritten) this.schedule(retryDelayMs);
      else if (this.isRecordChanged || this.unwritten.size > 0) this.schedule(0);
    });
  }

  /** Writes what has changed; returns false if the store did not take all of it. */
  private async write(): Promise<boolean> {
    try {
      for (const [key, stored] of this.unwritten) await this.writeQuarantine(key, stored);
      if (this.isRecordChanged) await this.writeRecord();
      return true;
    } catch (error) {
      const { type, message } = toFailure(error);
      this.log.info('Crashes not recorded in the store.', { type, reason: message });
      this.callCounter.countFailure(StoreCall.crashes, error);
      return false;
    }
  }

  private async writeQuarantine(key: string, stored: StoredQuarantine): Promise<void> {
    const { quarantine, isReleased } = stored;
    // Only a release, or a quarantine after one, may replace what another entry has written.
    const mayReplace = isReleased || this.releasedKeys.has(key);
    const condition = mayReplace ? {} : { ifRevision: 0 };
    try {
      const storeKey = this.codec.quarantineKey(quarantine);
      await this.store.put(storeKey, this.codec.encodeQuarantine(stored), condition);
      this.releasedKeys.delete(key);
      this.callCounter.countSuccess(StoreCall.crashes);
    } catch (error) {
      if (!(error instanceof Conflict)) throw error;
      this.log.debug('Quarantine already stored.', { traits: quarantine.traits });
    }
    if (this.unwritten.get(key) === stored) this.unwritten.delete(key);
  }

  private async writeRecord(): Promise<void> {
    this.isRecordChanged = false;
    try {
      const lease = await this.store.grantLease(recordLeaseMs);
      const update = this.guard.createReport(this.recentCrashes);
      const value = this.codec.encodeCrashes(update);
      await this.store.put(this.codec.crashesKey(this.instance), value, { lease });
      this.callCounter.countSuccess(StoreCall.crashes);
    } catch (error) {
      this.isRecordChanged = true;
      throw error;
    }
  }
}
