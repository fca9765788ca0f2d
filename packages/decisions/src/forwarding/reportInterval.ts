/** The entries of a region that an agent reports to. */
export interface ReportReceivers {
  readonly entries: number;
  /** Whether it is the agent's own region. */
  readonly isLocal: boolean;
}

interface ReportPace {
  /** Shortest time between two reports to one entry, in milliseconds. */
  readonly leastMs: number;
  /** Time that each entry of the region adds, in milliseconds. */
  readonly perEntryMs: number;
}

const near: ReportPace = { leastMs: 150, perEntryMs: 10 };
const far: ReportPace = { leastMs: 450, perEntryMs: 12 };
/** Longest time between two reports: a later one would find the one before stale. */
const longestMs = 700;

/** Time between two reports of an agent to each entry of a region, in milliseconds. */
export function reportIntervalMs({ entries, isLocal: isNear }: ReportReceivers): number {
  const { leastMs, perEntryMs } = isNear ? near : far;
  return Math.min(longestMs, Math.max(leastMs, entries * perEntryMs));
}
