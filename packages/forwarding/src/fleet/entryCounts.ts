import type { Clock, ForwarderSettings } from '@laburnumstream/common';
import { EntryCount } from '@laburnumstream/decisions';
import type { FleetState } from './fleetState.js';

/** Number of entries that is assumed while it is unknown. */
const assumedEntries = 16;
/** Window of the rate limit of a cold endpoint, in milliseconds. */
const coldWindowMs = 1_000;

/** Numbers of entries by which limits that apply to the whole fleet are divided. */
export class EntryCounts {
  /** The name under which this entry registers. */
  private readonly instance: string;

  private readonly retrying: EntryCount;

  private readonly sendingToCold = new EntryCount(assumedEntries, coldWindowMs);

  constructor(
    private readonly state: FleetState,
    { instance, isFirstStart, bounds }: ForwarderSettings,
    private readonly clock: Clock,
  ) {
    this.instance = instance;
    // A restarted process may have used up its share before the restart, so it starts without one.
    const unknownCount = isFirstStart ? assumedEntries : Infinity;
    this.retrying = new EntryCount(unknownCount, bounds.retryWindowMs);
  }

  /** Takes the number of registered entries from the state after a response of the store. */
  update(): void {
    const { entryCount, entryLocations } = this.state;
    const now = this.clock.now();
    const isIncluded = entryLocations.has(this.instance);
    this.retrying.update(entryCount, isIncluded, now);
    this.sendingToCold.update(entryCount, isIncluded, now);
  }

  /** Number of entries that share the connection limits of endpoints. */
  get forConnections(): number {
    return this.state.entryCount || assumedEntries;
  }

  /** Number of entries that share the retry budgets. */
  get forRetries(): number {
    return this.retrying.current(this.clock.now());
  }

  /** Number of entries that share the rate limit of a cold endpoint. */
  get forColdEndpoints(): number {
    return this.sendingToCold.current(this.clock.now());
  }
}
