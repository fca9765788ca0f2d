import { HistoryLost, OldProof } from '@laburnumstream/common';
import type {
  DatedChanges,
  DatedSnapshot,
  Provenance,
  StoreChange,
  StoredValue,
  StorePosition,
} from '@laburnumstream/common';
import type { ChangeDate } from '@laburnumstream/decisions';
import type { RacingCall } from './callRace.js';
import type { RelayedChanges } from './feedClient.js';

/** Age from which the proof of an entry that reads from others is too old, in milliseconds. */
export const maxProofAgeMs = 2_600;

/** Revision after which a read returns the whole content. */
export const wholeContent = 0;

/** Content with what is known of its age. */
export type DatedContent = DatedSnapshot | DatedChanges;

/** A read of the content from wherever it can be had. */
export interface FeedRequest {
  readonly kind: 'snapshot' | 'changes';
  readonly after: StorePosition;
  /** Time of the request on the proof clock, in milliseconds; the ages in its answer are those at that time. */
  readonly startedAt: number;
  readonly signal: AbortSignal | undefined;
}

/** A request, and how its content is read from the store and applied. */
export interface FeedRead<Content> extends FeedRequest {
  readonly readStore: (waitMs: number, call: RacingCall) => Promise<Content>;
  readonly apply: (content: Content, date: ChangeDate) => void;
  readonly toContent: (relayed: RelayedChanges) => Content;
}

/** Whether a position of the store is before another one. */
function isBefore(one: StorePosition, other: StorePosition | undefined): boolean {
  const epoch = one.epoch ?? 0;
  const otherEpoch = other?.epoch ?? 0;
  return epoch < otherEpoch || (epoch === otherEpoch && one.revision < (other?.revision ?? 0));
}

/** Returns the value that a change has written; none for a removal. */
export function toStoredValue({ key, value, revision }: StoreChange): StoredValue[] {
  return value === undefined ? [] : [{ key, value, revision }];
}

/** Returns the date of the oldest change in a response to a call at `calledAt`. */
export function readDate({ changeAgeMs, unseenMs }: Provenance, calledAt: number): ChangeDate {
  return { changedAt: calledAt - changeAgeMs, unseenMs };
}

/**
 * Throws a typed failure for another entry's content that is too old, or that does not follow `after` or what this
 * entry has, which is at `position`.
 */
export function checkRelayed(
  relayed: RelayedChanges,
  after: StorePosition,
  position: StorePosition | undefined,
  address: string,
): void {
  const { proofAgeMs } = relayed.provenance;
  const isWhole = after.revision === wholeContent;
  if (!isWhole && relayed.epoch !== after.epoch) throw new HistoryLost(address);
  const isOld = !relayed.isFromReader && proofAgeMs > maxProofAgeMs;
  if (isOld || (isWhole && isBefore(relayed, position))) throw new OldProof(address, proofAgeMs);
}
