import { Conflict, toFailure } from '@laburnumstream/common';
import type { Clock, KeyValueStore, Log, Metrics, Random } from '@laburnumstream/common';
import { convictionKey } from '@laburnumstream/decisions';
import type { Conviction, CrashNews } from '@laburnumstream/decisions';
import type { CrashGuard, CrashListener } from './crashGuard.js';
import type { FleetChange, FleetCodec, StoredConviction } from './fleetChange.js';
import { StoreCall, StoreCallCounter } from './storeCallCounter.js';

/** Time to live of an entry's record of crashes: others read it at once, or when they start. */
const recordLeaseMs = 60_000;
/** Maximum number of crashes in it. */
const maxRecordedCrashes = 8;
/** Time in which crashes are batched into one write, in milliseconds. */
const batchMs = 100;
const retryDelayMs = 1_000;
/** Time over which the entries spread their writes of the same conviction, in milliseconds for each. */
const writeSpreadMsPerEntry = 15;

/**
 * Keeps crashes and convictions in the store, for entries that do not hear this one and for those that
 * start later. Convictions have no lease: they must outlive all entries.
 */
export class CrashRecords implements CrashListener {
  /** Incarnations of the endpoints whose crashes this entry saw last. */
  private recentCrashes: readonly string[] = [];

  private isRecordChanged = false;

  /** Convictions to be written, by key. */
  private readonly unwritten = new Map<string, StoredConviction>();

  /** Keys of convictions that the store has as withdrawn. */
  private readonly withdrawnKeys = new Set<string>();

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

  onNews(news: CrashNews): void {
    const endpoints = news.crashes.map(({ endpoint }) => endpoint);
    const older = this.recentCrashes.filter((endpoint) => !endpoints.includes(endpoint));
    this.recentCrashes = [...older, ...endpoints].slice(-maxRecordedCrashes);
    this.isRecordChanged = true;
    this.schedule(batchMs);
  }

  onConviction(conviction: Conviction): void {
    this.unwritten.set(convictionKey(conviction), { conviction, isWithdrawn: false });
    // All entries convict at about the same time; the first one that writes spares the others the call.
    this.schedule(this.random.next() * writeSpreadMsPerEntry * this.entryCount());
  }

  onWithdrawal(conviction: Conviction): void {
    this.unwritten.set(convictionKey(conviction), { conviction, isWithdrawn: true });
    this.schedule(0);
  }

  /** Applies a change of the store. */
  apply(change: Extract<FleetChange, { kind: 'crashes' | 'conviction' }>): void {
    if (change.kind === 'crashes') {
      if (change.news) this.guard.receive(change.news);
    } else if (change.stored) this.applyStored(change.stored);
    else this.restoreMissing();
  }

  private applyStored({ conviction, isWithdrawn }: StoredConviction): void {
    const key = convictionKey(conviction);
    if (isWithdrawn) {
      this.withdrawnKeys.add(key);
      this.guard.withdraw(conviction);
    } else if (!this.guard.adopt(conviction)) {
      this.unwritten.set(key, { conviction, isWithdrawn: true });
      this.schedule(0);
      return;
    }
    this.unwritten.delete(key);
  }

  /** Writes convictions again that the store has lost. */
  private restoreMissing(): void {
    this.guard.convictions.forEach((conviction) =>
      this.unwritten.set(convictionKey(conviction), { conviction, isWithdrawn: false }),
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
      for (const [key, stored] of this.unwritten) await this.writeConviction(key, stored);
      if (this.isRecordChanged) await this.writeRecord();
      return true;
    } catch (error) {
      const { type, message } = toFailure(error);
      this.log.info('Crashes not recorded in the store.', { type, reason: message });
      this.callCounter.countFailure(StoreCall.crashes, error);
      return false;
    }
  }

  private async writeConviction(key: string, stored: StoredConviction): Promise<void> {
    const { conviction, isWithdrawn } = stored;
    // Only a withdrawal, or a conviction after one, may replace what another entry has written.
    const mayReplace = isWithdrawn || this.withdrawnKeys.has(key);
    const condition = mayReplace ? {} : { ifRevision: 0 };
    try {
      const storeKey = this.codec.convictionKey(conviction);
      await this.store.put(storeKey, this.codec.encodeConviction(stored), condition);
      this.withdrawnKeys.delete(key);
      this.callCounter.countSuccess(StoreCall.crashes);
    } catch (error) {
      if (!(error instanceof Conflict)) throw error;
      this.log.debug('Conviction already stored.', { traits: conviction.traits });
    }
    if (this.unwritten.get(key) === stored) this.unwritten.delete(key);
  }

  private async writeRecord(): Promise<void> {
    this.isRecordChanged = false;
    try {
      const lease = await this.store.grantLease(recordLeaseMs);
      const news = this.guard.createReport(this.recentCrashes);
      const value = this.codec.encodeCrashes(news);
      await this.store.put(this.codec.crashesKey(this.instance), value, { lease });
      this.callCounter.countSuccess(StoreCall.crashes);
    } catch (error) {
      this.isRecordChanged = true;
      throw error;
    }
  }
}
