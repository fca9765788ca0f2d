/** The entries of a region that receive an agent's reports. */
export interface ReportReceivers {
  readonly entries: number;
  /** Whether it is the agent's own region. */
  readonly isLocal: boolean;
  /** Whether the region lacks places of its own and depends on those of other regions. */
  readonly isReliant?: boolean;
}

interface IntervalScale {
  /** Minimum time between two reports to one entry, in milliseconds. */
  readonly minMs: number;
  /** Addition per entry of the region, in milliseconds. */
  readonly perEntryMs: number;
}

const local: IntervalScale = { minMs: 150, perEntryMs: 10 };
const remote: IntervalScale = { minMs: 450, perEntryMs: 12 };
/** Only a region without enough places of its own is worth more bytes between regions. */
const reliant: IntervalScale = { minMs: 200, perEntryMs: 12 };
/** Maximum time between two reports: with a longer one, reports would become stale. */
const maxMs = 700;

/** Interval of an agent's reports to each entry of a region, in milliseconds. */
export function reportIntervalMs({ entries, isLocal, isReliant }: ReportReceivers): number {
  const ofOthers = isReliant ? reliant : remote;
  const { minMs, perEntryMs } = isLocal ? local : ofOthers;
  return Math.min(maxMs, Math.max(minMs, entries * perEntryMs));
}

/**
 * Interval of the reports of demand: several within the second in which reserves have to adapt, and fewer in a
 * large region, as each entry gets those of all others.
 */
const demandInterval = { minMs: 200, maxMs: 400, perEntryMs: 5 } as const;

/** Interval of an entry's reports of demand to the entries of its region, in milliseconds. */
export function demandIntervalMs(entries: number): number {
  const { minMs, perEntryMs } = demandInterval;
  return Math.min(demandInterval.maxMs, Math.max(minMs, entries * perEntryMs));
}
