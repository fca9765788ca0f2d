/** Shortest and longest time in which changes of the store are collected, in milliseconds. */
const collectMs = { least: 250, most: 500 } as const;
/** Time that each entry adds, in milliseconds: all of them ask the same store. */
const perEntryMs = 14;

/** Time in which an entry collects further changes before it asks the store again, in milliseconds. */
export function changeBatchWindowMs(entries: number): number {
  return Math.min(collectMs.most, Math.max(collectMs.least, entries * perEntryMs));
}
