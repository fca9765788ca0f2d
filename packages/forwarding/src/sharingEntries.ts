import type { Clock, ForwarderSettings } from '@laburnumstream/common';
import { EntryCount } from '@laburnumstream/decisions';
import type { FleetState } from './fleetState.js';

/** Entries that share bounds as long as it is not known how many there are. */
const mostEntries = 16;
/** Window over which requests to a cold endpoint count, in milliseconds. */
const coldWindowMs = 1_000;

/** How many entries share the bounds that all of them keep together. */
export class SharingEntries {
  /** The name under which this entry registers. */
  private readonly instance: string;

  private readonly repeating: EntryCount;

  private readonly sendingToCold = new EntryCount(mostEntries, coldWindowMs);

  constructor(
    private readonly state: FleetState,
    { instance, isFirstStart, bounds }: ForwarderSettings,
    private readonly clock: Clock,
  ) {
    this.instance = instance;
    // A process that starts anew may have used its share before, so it has none of its own at first.
    const unknownCount = isFirstStart ? mostEntries : Infinity;
    this.repeating = new EntryCount(unknownCount, bounds.retryWindowMs);
  }

  /** The store has answered; the state holds what it told. */
  storeAnswered(): void {
    const { entries, places } = this.state;
    const now = this.clock.now();
    const isIncluded = places.has(this.instance);
    this.repeating.update(entries, isIncluded, now);
    this.sendingToCold.update(entries, isIncluded, now);
  }

  /** Entries that share endpoints' connections. */
  get connecting(): number {
    return this.state.entries || mostEntries;
  }

  /** Entries that share the bound on repeats. */
  get forRepeats(): number {
    return this.repeating.current(this.clock.now());
  }

  /** Entries that share the rate of a cold endpoint. */
  get forColdEndpoints(): number {
    return this.sendingToCold.current(this.clock.now());
  }
}
