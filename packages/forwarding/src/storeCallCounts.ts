import { toFailure } from '@laburnumstream/common';
import type { Metrics } from '@laburnumstream/common';

/** What an entry calls the store for. */
export const StoreCall = {
  list: 'list',
  watch: 'watch',
  /** Its own registration and its lease. */
  lease: 'lease',
} as const;

/** One of the values of {@link StoreCall}. */
export type StoreCall = (typeof StoreCall)[keyof typeof StoreCall];

/** Counts calls to the store by what they are for and how they end. */
export class StoreCallCounter {
  constructor(private readonly metrics: Metrics) {}

  countSuccess(call: StoreCall): void {
    this.metrics.count('store_calls', { call, outcome: 'answered' });
  }

  countFailure(call: StoreCall, error: unknown): void {
    this.metrics.count('store_calls', { call, outcome: toFailure(error).type });
  }
}
