import { Conflict, toFailure } from '@laburnumstream/common';
import type {
  Clock,
  KeyValueStore,
  Log,
  Metrics,
  Random,
  StoredValue,
} from '@laburnumstream/common';
import { configurationKey, parseConfiguration } from '@laburnumstream/decisions';
import type { ConfigurationReplica } from './configurationReplica.js';

const initialRetryMs = 250;
const maxRetryMs = 4_000;

/** Watches the store and rewrites the document when the store has lost revisions in force. */
export class ConfigurationWatcher {
  private retryMs = initialRetryMs;

  constructor(
    private readonly store: KeyValueStore,
    private readonly replica: ConfigurationReplica,
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly watchMs: number,
    private readonly metrics: Metrics,
    private readonly log: Log,
  ) {}

  /** Watches until the signal fires; calls `onStoreReached` for each response of the store. */
  async run(onStoreReached: () => void, signal: AbortSignal): Promise<void> {
    this.retryMs = initialRetryMs;
    while (!signal.aborted) {
      try {
        await this.readAndWatch(onStoreReached, signal);
        this.retryMs = initialRetryMs;
      } catch (error) {
        if (signal.aborted) return;
        this.log.warn('The store is out of reach.', { type: toFailure(error).type });
        this.metrics.count('configuration_store_failed');
        await this.backOff(signal);
      }
    }
  }

  /** Reads before watching, since the key's revisions may have gone back in a restored store. */
  private async readAndWatch(onStoreReached: () => void, signal: AbortSignal): Promise<void> {
    let stored = await this.store.get(configurationKey, signal);
    onStoreReached();
    await this.applyStored(stored, signal);
    do {
      const afterRevision = stored?.revision ?? 0;
      stored = await this.store.watch(configurationKey, afterRevision, this.watchMs, signal);
      onStoreReached();
      if (stored) await this.applyStored(stored, signal);
    } while (stored && !signal.aborted);
  }

  private async applyStored(stored: StoredValue | undefined, signal: AbortSignal): Promise<void> {
    if (stored) this.replica.adopt(stored.value);
    const { revision } = this.replica.configuration;
    const storedRevision = stored ? parseConfiguration(stored.value).revision : 0;
    if (storedRevision >= revision) return;
    this.log.error('The store has lost revisions; rewriting the document.', {
      revision,
      storedRevision,
    });
    this.metrics.count('configuration_store_behind');
    const condition = { ifRevision: stored?.revision ?? 0 };
    try {
      await this.store.put(configurationKey, this.replica.document, condition, signal);
    } catch (error) {
      if (!(error instanceof Conflict)) throw error;
    }
  }

  private async backOff(signal: AbortSignal): Promise<void> {
    const jitter = 0.5 + this.random.next();
    await this.clock.sleep(this.retryMs * jitter, signal).catch(() => undefined);
    this.retryMs = Math.min(maxRetryMs, this.retryMs * 2);
  }
}
