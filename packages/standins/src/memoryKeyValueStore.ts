import { Conflict, Failure, NotFound, StoreUnavailable } from '@laburnumstream/common';
import type {
  Clock,
  KeyValueStore,
  Random,
  StoredValue,
  WriteCondition,
} from '@laburnumstream/common';
import type { MemoryStoreContent } from './memoryStoreContent.js';

/** Faults that can be injected into one call. */
export const CallFault = {
  none: 'none',
  /** The request is lost before it takes effect. */
  lostRequest: 'lostRequest',
  /** The request takes effect, but its response is lost. */
  lostResponse: 'lostResponse',
  /** The request takes effect only after the caller has timed out. */
  delayed: 'delayed',
} as const;

/** One of the values of {@link CallFault}. */
export type CallFault = (typeof CallFault)[keyof typeof CallFault];

const timeoutMs = 2_000;
const maxDelayMs = 6_000;

/** A client of an in-memory store that runs on a given clock and injects faults. */
export class MemoryKeyValueStore implements KeyValueStore {
  /** Chooses the fault of the next call. */
  chooseFault: (operation: string) => CallFault = () => CallFault.none;

  isDown = false;

  latencyMs = 2;

  constructor(
    private readonly content: MemoryStoreContent,
    private readonly clock: Clock,
    private readonly random: Random,
  ) {}

  get(key: string, signal?: AbortSignal): Promise<StoredValue | undefined> {
    return this.call('get', () => this.content.values.get(key), signal);
  }

  list(prefix: string, signal?: AbortSignal): Promise<readonly StoredValue[]> {
    const findMatches = () =>
      [...this.content.values.values()].filter(({ key }) => key.startsWith(prefix));
    return this.call('list', findMatches, signal);
  }

  put(
    key: string,
    value: string,
    { ifRevision, lease }: WriteCondition,
    signal?: AbortSignal,
  ): Promise<number> {
    const write = (): number => {
      const { content } = this;
      const held = lease ? this.getLease(lease) : undefined;
      const currentRevision = content.values.get(key)?.revision ?? 0;
      if (content.checksConditions && ifRevision !== undefined && ifRevision !== currentRevision) {
        throw new Conflict(`The value of ${key} changed meanwhile.`);
      }
      content.revision += 1;
      held?.keys.add(key);
      content.values.set(key, { key, value, revision: content.revision });
      [...content.watchers].forEach((wake) => wake());
      return content.revision;
    };
    return this.call('put', write, signal);
  }

  remove(): Promise<void> {
    throw new Failure(
      'not_supported',
      `The in-memory store at ${this.clock.now()} cannot remove keys.`,
    );
  }

  async watch(
    key: string,
    after: number,
    waitMs: number,
    signal?: AbortSignal,
  ): Promise<StoredValue | undefined> {
    const getNewer = (): StoredValue | undefined => {
      const stored = this.content.values.get(key);
      return stored && stored.revision > after ? stored : undefined;
    };
    const found = await this.call('watch', getNewer, signal);
    if (found) return found;
    const changed = new AbortController();
    const wake = (): void => {
      if (getNewer()) changed.abort();
    };
    this.content.watchers.add(wake);
    const wakeSignal = signal ? AbortSignal.any([signal, changed.signal]) : changed.signal;
    await this.clock.sleep(waitMs, wakeSignal).catch(() => undefined);
    this.content.watchers.delete(wake);
    if (this.isDown) throw new StoreUnavailable('The connection was lost.');
    return this.call('watched', getNewer, signal);
  }

  grantLease(ttlMs: number, signal?: AbortSignal): Promise<string> {
    return this.call('grantLease', () => this.content.grantLease(ttlMs, this.clock.now()), signal);
  }

  renewLease(lease: string, signal?: AbortSignal): Promise<void> {
    const renew = (): void => {
      const held = this.getLease(lease);
      held.endsAt = this.clock.now() + held.ttlMs;
    };
    return this.call('renewLease', renew, signal);
  }

  revokeLease(lease: string, signal?: AbortSignal): Promise<void> {
    return this.call('revokeLease', () => this.content.endLease(lease), signal);
  }

  private getLease(id: string) {
    const lease = this.content.leases.get(id);
    if (!lease) throw new NotFound(`The lease ${id} has ended.`);
    return lease;
  }

  private async call<Value>(
    operation: string,
    handle: () => Value,
    signal?: AbortSignal,
  ): Promise<Value> {
    if (operation !== 'watched') this.content.calls += 1;
    const effect = (): Value => {
      this.content.expireLeases(this.clock.now());
      return handle();
    };
    const fault = this.chooseFault(operation);
    await this.clock.sleep(this.latencyMs * (0.5 + this.random.next()), signal);
    if (this.isDown) throw new StoreUnavailable('The store is down.');
    if (fault === CallFault.lostRequest) return this.timeOut(signal);
    if (fault === CallFault.delayed) {
      const delayMs = timeoutMs + this.random.next() * maxDelayMs;
      void this.clock
        .sleep(delayMs)
        .then(effect)
        .catch(() => undefined);
      return this.timeOut(signal);
    }
    const value = effect();
    if (fault === CallFault.lostResponse) return this.timeOut(signal);
    return value;
  }

  private async timeOut(signal?: AbortSignal): Promise<never> {
    await this.clock.sleep(timeoutMs, signal);
    throw new StoreUnavailable('The response did not arrive in time.');
  }
}
