import type { FeedReaders } from '@laburnumstream/decisions';
import type { FeedRequest } from './feedRequest.js';

/** Time between two calls of a reader to an unreachable store, in milliseconds: keys are accepted soon after an outage. */
const readerProbeMs = { changes: 150, snapshot: 500 } as const;
/** The same of a reader that gets the content from others meanwhile: only its own path to the store is broken. */
const cutOffProbeMs = 1_000;
/**
 * The same of followers, which learn from readers that an outage has ended. Their own calls show whether only the readers
 * are cut off.
 */
const followerProbeMs = 3_000;
/** The same while the entries of the region are unknown, so that any number of them may call. */
const unknownProbeMs = 500;

/** Returns the time between two calls of an entry to an unreachable store, in milliseconds. */
export function probeIntervalMs(
  readers: FeedReaders,
  kind: FeedRequest['kind'],
  isCutOff: boolean,
  now: number,
): number {
  if (!readers.isKnown) return unknownProbeMs;
  if (!readers.isReader(now)) return followerProbeMs;
  return isCutOff ? cutOffProbeMs : readerProbeMs[kind];
}
