import type { StoreChange } from '@laburnumstream/common';

/**
 * Path at which an entry serves the store's content to others, with the queries `after`, `epoch` and `waitMs`. With
 * `provenMs` the entry waits for a proof that is no older than this at the call, in place of a change.
 */
export const feedPath = '/feed';

/** Statuses of responses with the store's content. */
export const FeedStatus = {
  ok: 200,
  invalid: 400,
  historyLost: 410,
  /** The entry has read nothing of this epoch from the store yet, or the store has fallen silent for it. */
  notReady: 503,
} as const;

/** Where an entry reads the store's content from. */
export const FeedSource = { store: 'store', entry: 'entry' } as const;

/** One of the values of {@link FeedSource}. */
export type FeedSource = (typeof FeedSource)[keyof typeof FeedSource];

/** Headers that describe the content, times in milliseconds; see `Provenance`. */
export const FeedHeader = {
  /** A `FeedSource`. */
  source: 'laburnumstream-feed-source',
  /** Epoch of the store; absent where it tells none. */
  epoch: 'laburnumstream-feed-epoch',
  proofAge: 'laburnumstream-feed-proof-age',
  changeAge: 'laburnumstream-feed-changed-before',
  /** Absent if it is 0. */
  unseen: 'laburnumstream-feed-unseen',
  outage: 'laburnumstream-feed-outage',
  outageEnded: 'laburnumstream-feed-outage-ended',
  /** Present where the entry is not ready, but the store is sending it the content. */
  reading: 'laburnumstream-feed-reading',
} as const;

/** Body of a response: the changes after the requested revision, or all values after 0. */
export interface FeedBody {
  readonly revision: number;
  readonly changes: readonly StoreChange[];
}
