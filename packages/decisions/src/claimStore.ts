import { Conflict, NotFound, StoreUnavailable } from '@laburnumstream/common';
import type { KeyValueStore, StoredValue } from '@laburnumstream/common';

/** State of the request behind an idempotency key. */
export const ClaimState = {
  /** An attempt holds the right to run; it may be running or have run. */
  claimed: 'claimed',
  /** The attempt ended before it ran anything. */
  released: 'released',
  ran: 'ran',
} as const;

/** One of the values of {@link ClaimState}. */
export type ClaimState = (typeof ClaimState)[keyof typeof ClaimState];

/** A response that is stored with its claim. */
export interface RecordedResponse {
  /** Status of a plain service's response; 0 for a completion. */
  readonly status: number;
  /** The body, or the tokens of a completion. */
  readonly texts: readonly string[];
}

/** The stored record of an idempotency key. */
export interface ClaimRecord {
  readonly attempt: string;
  readonly fingerprint: string;
  readonly state: ClaimState;
  /** Wall-clock time of the claim since the Unix epoch, in milliseconds. */
  readonly at: number;
  /** Absent when the response was too large to be stored. */
  readonly answer?: RecordedResponse;
}

/** The right to run one request once. */
export interface HeldClaim {
  readonly key: string;
  readonly record: ClaimRecord;
  readonly revision: number;
}

/** The result of a claim: held, or the record of another attempt that holds the key. */
export type Claim =
  | { readonly kind: 'held'; readonly held: HeldClaim }
  | { readonly kind: 'taken'; readonly record: ClaimRecord };

/** The lease whose expiry removes old claims from the store. */
export interface ClaimLease {
  acquire(): Promise<string>;
  /** Discards a lease that the store no longer knows. */
  invalidate(): void;
}

const storeAttempts = 3;
const maxAbandoned = 10_000;

function parseRecord(stored: StoredValue): ClaimRecord {
  return JSON.parse(stored.value) as ClaimRecord;
}

/**
 * Claims idempotency keys in the platform's key-value service. A claim is created only if the key has
 * none. When the response to a write is lost, the record is read back; the attempt's own id in it
 * shows that the write took effect. Costs one write for a claim and one for its outcome.
 */
export class ClaimStore {
  /** Attempts of this process that ended without knowing whether their claim was written. */
  private readonly abandoned = new Set<string>();

  constructor(
    private readonly store: KeyValueStore,
    private readonly lease: ClaimLease,
    private readonly wallClock: () => number,
  ) {}

  /** Claims `key` for `attempt`; throws `StoreUnavailable` when the state of the key is unknown. */
  async claim(
    key: string,
    attempt: string,
    fingerprint: string,
    signal?: AbortSignal,
  ): Promise<Claim> {
    const record = { attempt, fingerprint, state: ClaimState.claimed, at: this.wallClock() };
    let existing: StoredValue | undefined;
    let failure: unknown = new StoreUnavailable('The claim was lost again and again.');
    for (let tries = 0; tries < storeAttempts; tries += 1) {
      try {
        const written = await this.write(key, record, existing?.revision ?? 0, signal);
        if (written) return { kind: 'held', held: { key, record, revision: written } };
        existing = await this.store.get(key, signal);
        const resolved = existing && this.resolve(key, existing, attempt);
        if (resolved) return resolved;
      } catch (error) {
        if (!(error instanceof StoreUnavailable)) throw this.abandon(attempt, error);
        failure = error;
      }
    }
    throw this.abandon(attempt, failure);
  }

  /** The record of a key, if there is one. */
  async read(key: string, signal?: AbortSignal): Promise<ClaimRecord | undefined> {
    const stored = await this.store.get(key, signal);
    if (!stored || this.abandoned.has(parseRecord(stored).attempt)) return undefined;
    return parseRecord(stored);
  }

  /** Releases a claim; only for work that has not started and will not start. */
  async release(held: HeldClaim): Promise<void> {
    this.addAbandoned(held.record.attempt);
    await this.update(held, { ...held.record, state: ClaimState.released });
  }

  /** Records that the work ran, with its response if that is to be stored. */
  async recordRun(held: HeldClaim, answer?: RecordedResponse): Promise<void> {
    const ran = { ...held.record, state: ClaimState.ran };
    await this.update(held, answer ? { ...ran, answer } : ran);
  }

  /** The claim that results from an existing record, or undefined when it may be overwritten. */
  private resolve(key: string, existing: StoredValue, attempt: string): Claim | undefined {
    const record = parseRecord(existing);
    if (record.attempt === attempt) {
      return { kind: 'held', held: { key, record, revision: existing.revision } };
    }
    if (record.state === ClaimState.released || this.abandoned.has(record.attempt)) {
      return undefined;
    }
    return { kind: 'taken', record };
  }

  /** Writes a record if `ifRevision` still holds; returns the new revision, or 0 on a conflict. */
  private async write(
    key: string,
    record: ClaimRecord,
    ifRevision: number,
    signal?: AbortSignal,
  ): Promise<number> {
    try {
      const lease = await this.lease.acquire();
      return await this.store.put(key, JSON.stringify(record), { ifRevision, lease }, signal);
    } catch (error) {
      if (error instanceof Conflict) return 0;
      if (!(error instanceof NotFound)) throw error;
      this.lease.invalidate();
      throw new StoreUnavailable('The lease has ended.', error);
    }
  }

  private async update(held: HeldClaim, record: ClaimRecord): Promise<void> {
    let failure: unknown;
    for (let tries = 0; tries < storeAttempts; tries += 1) {
      try {
        // A conflict means that an earlier try took effect or that the record has expired.
        await this.write(held.key, record, held.revision);
        return;
      } catch (error) {
        failure = error;
      }
    }
    throw failure;
  }

  private abandon(attempt: string, error: unknown): unknown {
    this.addAbandoned(attempt);
    return error;
  }

  private addAbandoned(attempt: string): void {
    this.abandoned.add(attempt);
    if (this.abandoned.size <= maxAbandoned) return;
    const [oldest] = this.abandoned;
    if (oldest) this.abandoned.delete(oldest);
  }
}
