/** Bounds of the window unless the deadline allows a longer one, in milliseconds. */
const windowBoundsMs = { min: 250, max: 500 } as const;
/** Addition to the window per entry, in milliseconds: all entries read from the same store. */
const perEntryMs = 14;
/** Time in which an entry finds another source after its own has failed, in milliseconds. */
const failoverMs = 1_000;
/** A change may wait for a window at the reader of the store and at the entry that reads from it. */
const windowsPerChange = 2;

/**
 * Time for which an entry batches store changes before it reads the store again, in milliseconds.
 * `deadlineMs` is the time in which the most urgent kind of change must take effect. What a failover
 * leaves of it is divided among the windows and the rest of a change's way.
 */
export function changeBatchWindowMs(entries: number, deadlineMs: number): number {
  const sharedMs = (deadlineMs - failoverMs) / (windowsPerChange + 1);
  const max = Math.max(windowBoundsMs.max, sharedMs);
  const min = Math.max(windowBoundsMs.min, sharedMs);
  return Math.min(max, Math.max(min, entries * perEntryMs));
}
