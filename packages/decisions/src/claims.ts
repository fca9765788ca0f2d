import { Conflict, NotFound, StoreUnavailable } from '@laburnumstream/common';
import type { KeyValueStore, StoredValue } from '@laburnumstream/common';

/** How far the request behind an idempotency key has come. */
export const ClaimState = {
  /** One attempt holds the right to run; it may be running or have run. */
  claimed: 'claimed',
  /** The attempt was given up before it ran anything. */
  released: 'released',
  ran: 'ran',
} as const;

/** One of the values of {@link ClaimState}. */
export type ClaimState = (typeof ClaimState)[keyof typeof ClaimState];

/** An answer that is kept with its claim. */
export interface RecordedResponse {
  /** Status of a plain service's answer; 0 for a completion. */
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
  /** Absent when the answer was too large to be kept. */
  readonly answer?: RecordedResponse;
}

/** The right to run one request once. */
export interface HeldClaim {
  readonly key: string;
  readonly record: ClaimRecord;
  readonly revision: number;
}

/** The outcome of a claim: held, or the record that stands in the way. */
export type Claim =
  | { readonly kind: 'held'; readonly held: HeldClaim }
  | { readonly kind: 'taken'; readonly record: ClaimRecord };

/** The lease whose end removes old claims from the store. */
export interface ClaimLease {
  acquire(): Promise<string>;
  /** The store does not know the lease any more. */
  invalidate(): void;
}

const storeTries = 3;
const mostAbandoned = 10_000;

function parse(stored: StoredValue): ClaimRecord {
  return JSON.parse(stored.value) as ClaimRecord;
}

/**
 * Claims idempotency keys in the platform's key-value service. A claim is created only when none is
 * there; after a lost answer the record is read again, and the attempt's own id in it shows that the
 * write took effect. Costs one write for a claim and one for its outcome.
 */
export class ClaimStore {
  /** Attempts of this process that gave up without knowing whether their claim was written. */
  private readonly abandoned = new Set<string>();

  constructor(
    private readonly store: KeyValueStore,
    private readonly lease: ClaimLease,
    private readonly wall: () => number,
  ) {}

  /** Claims `key` for `attempt`; throws `StoreUnavailable` when the store cannot tell. */
  async claim(
    key: string,
    attempt: string,
    fingerprint: string,
    signal?: AbortSignal,
  ): Promise<Claim> {
    const record = { attempt, fingerprint, state: ClaimState.claimed, at: this.wall() };
    let present: StoredValue | undefined;
    let failure: unknown = new StoreUnavailable('The claim was lost again and again.');
    for (let tries = 0; tries < storeTries; tries += 1) {
      try {
        const written = await this.write(key, record, present?.revision ?? 0, signal);
        if (written) return { kind: 'held', held: { key, record, revision: written } };
        present = await this.store.get(key, signal);
        const resolved = present && this.resolve(key, present, attempt);
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
    if (!stored || this.abandoned.has(parse(stored).attempt)) return undefined;
    return parse(stored);
  }

  /** Gives a claim back; only for work that was not begun and will not be. */
  async release(held: HeldClaim): Promise<void> {
    this.remember(held.record.attempt);
    await this.settle(held, { ...held.record, state: ClaimState.released });
  }

  /** Records that the work ran, with its answer when there is one to keep. */
  async recordRun(held: HeldClaim, answer?: RecordedResponse): Promise<void> {
    const ran = { ...held.record, state: ClaimState.ran };
    await this.settle(held, answer ? { ...ran, answer } : ran);
  }

  /** The claim that a present record allows, or undefined when it may be written over. */
  private resolve(key: string, present: StoredValue, attempt: string): Claim | undefined {
    const record = parse(present);
    if (record.attempt === attempt) {
      return { kind: 'held', held: { key, record, revision: present.revision } };
    }
    if (record.state === ClaimState.released || this.abandoned.has(record.attempt)) {
      return undefined;
    }
    return { kind: 'taken', record };
  }

  /** Writes a record; returns its revision, or 0 when the condition failed. */
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

  private async settle(held: HeldClaim, record: ClaimRecord): Promise<void> {
    let failure: unknown;
    for (let tries = 0; tries < storeTries; tries += 1) {
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
    this.remember(attempt);
    return error;
  }

  private remember(attempt: string): void {
    this.abandoned.add(attempt);
    if (this.abandoned.size <= mostAbandoned) return;
    const [oldest] = this.abandoned;
    if (oldest) this.abandoned.delete(oldest);
  }
}
