import type { FeedReaders } from '@laburnumstream/decisions';
import type { FeedRequest } from './feedRequest.js';

/** Time between two calls of a reader to a store that is away, in milliseconds: keys are accepted soon after an outage. */
const readerProbeMs = { changes: 150, snapshot: 500 } as const;
/** The same of a reader that has the content from others meanwhile: only its own way to the store is broken. */
const cutOffProbeMs = 1_000;
/** The same of the entries that the readers tell of its end; they find out alone that only the readers are cut off. */
const followerProbeMs = 3_000;
/** The same while the entries of the region are unknown, so that any number of them may call. */
const unknownProbeMs = 500;

/** Returns the time between two calls of an entry to a store that is away, in milliseconds. */
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
