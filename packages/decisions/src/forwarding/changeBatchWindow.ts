/** Bounds of the batching window, in milliseconds. */
const windowBoundsMs = { min: 250, max: 500 } as const;
/** Addition to the window per entry, in milliseconds: all entries read from the same store. */
const perEntryMs = 14;

/** Time for which an entry batches store changes before it reads the store again, in milliseconds. */
export function changeBatchWindowMs(entries: number): number {
  return Math.min(windowBoundsMs.max, Math.max(windowBoundsMs.min, entries * perEntryMs));
}
