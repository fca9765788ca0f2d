import { Aborted, NotFound, StoreUnavailable } from '@laburnumstream/common';
import type { KeyValueStore, StoredValue, WriteCondition } from '@laburnumstream/common';
import type { Host } from './host.js';
import type { MemoryStore } from './memoryStore.js';

const lostResponseDelayMs = 50;

/** The store client of one process: each call takes time, may fail and may lose its response. */
export class MemoryStoreClient implements KeyValueStore {
  constructor(
    private readonly store: MemoryStore,
    private readonly host: Host,
  ) {}

  get(key: string, signal?: AbortSignal): Promise<StoredValue | undefined> {
    return this.call(() => this.store.values.get(key), signal);
  }

  put(
    key: string,
    value: string,
    condition: WriteCondition,
    signal?: AbortSignal,
  ): Promise<number> {
    return this.call(() => this.store.put(key, value, condition), signal);
  }

  grantLease(): Promise<string> {
    return Promise.resolve('lease');
  }

  list(): Promise<readonly StoredValue[]> {
    return Promise.resolve([]);
  }

  async remove(): Promise<void> {
    throw new NotFound('Not used in histories.');
  }

  async watch(): Promise<StoredValue | undefined> {
    throw new NotFound('Not used in histories.');
  }

  async renewLease(): Promise<void> {
    throw new NotFound('Not used in histories.');
  }

  async revokeLease(): Promise<void> {
    throw new NotFound('Not used in histories.');
  }

  private call<Result>(effect: () => Result, signal?: AbortSignal): Promise<Result> {
    const aborted = new Promise<never>((_, reject) => {
      signal?.addEventListener('abort', () => reject(new Aborted()), { once: true });
    });
    const result = this.execute(effect);
    result.catch(() => undefined);
    return this.host.receive(Promise.race([result, aborted]));
  }

  /** Applies the effect even if the caller has given up by then. */
  private async execute<Result>(effect: () => Result): Promise<Result> {
    const { store } = this;
    store.calls += 1;
    await store.clock.sleep(store.latencyMs());
    if (store.isDown) throw new StoreUnavailable('The store is down.');
    const losesResponse = store.random.next() < store.lostResponseShare;
    const result = effect();
    await store.clock.sleep(losesResponse ? lostResponseDelayMs : store.latencyMs());
    if (losesResponse) throw new StoreUnavailable('The response was lost.');
    return result;
  }
}
