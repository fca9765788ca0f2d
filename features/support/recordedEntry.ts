import type { StoreClient } from '@laburnumstream/platform';
import { HistogramMetrics } from '@laburnumstream/runtime';

/** Metrics of an entry from which the age of its proof can be read. */
export class ReadableMetrics extends HistogramMetrics {
  /** Returns the age of the proof of keys, in milliseconds. */
  readProofAge: () => number = () => Infinity;

  override registerGauges(read: Parameters<HistogramMetrics['registerGauges']>[0]): void {
    super.registerGauges(read);
    this.readProofAge = () =>
      read().find(({ name }) => name === 'configuration_proof_age_ms')?.value ?? Infinity;
  }
}

/** What an entry does with the store. */
export interface EntryRecord {
  /** Monotonic time for which the store has proven the configuration, in milliseconds. */
  readonly provenAt: number;
  /** Calls for the store's content since the last restart of the record. */
  readonly calls: number;
  readonly restart: () => void;
}

/** Records an entry's proof and its calls to the store. */
export function recordEntry(store: StoreClient, metrics: ReadableMetrics): EntryRecord {
  let calls = 0;
  (['ping', 'changes', 'snapshot'] as const).forEach((name) => {
    const call = store[name].bind(store) as (...parameters: unknown[]) => unknown;
    Object.assign(store, {
      [name]: (...parameters: unknown[]) => {
        calls += 1;
        return call(...parameters);
      },
    });
  });
  return {
    get provenAt() {
      return performance.now() - metrics.readProofAge();
    },
    get calls() {
      return calls;
    },
    restart() {
      calls = 0;
    },
  };
}
