import { toFailure } from '@laburnumstream/common';
import type { Metrics } from '@laburnumstream/common';

/** Kinds of calls to the store. */
export const StoreCall = {
  list: 'list',
  watch: 'watch',
  /** Registration of this entry and renewal of its lease. */
  lease: 'lease',
  /** Records of crashed endpoints and of content that crashes them. */
  crashes: 'crashes',
} as const;

/** One of the values of {@link StoreCall}. */
export type StoreCall = (typeof StoreCall)[keyof typeof StoreCall];

/** Counts calls to the store by kind and outcome. */
export class StoreCallCounter {
  constructor(private readonly metrics: Metrics) {}

  countSuccess(call: StoreCall): void {
    this.metrics.count('store_calls', { call, outcome: 'answered' });
  }

  countFailure(call: StoreCall, error: unknown): void {
    this.metrics.count('store_calls', { call, outcome: toFailure(error).type });
  }
}
