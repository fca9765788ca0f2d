import { rendezvousOrder } from '@laburnumstream/common';

/** Entries of a region that read the store themselves: while there are two, one may fail. */
const maxReadersPerRegion = 2;
/** Entries of all regions that read the store: each of them costs a call for each batch of changes. */
const maxReaders = 6;
/** Time for which an entry that failed as a source is avoided, in milliseconds. */
const avoidanceMs = 5_000;
/** Calls without a response in a row after which an entry is avoided: one may be lost to a short stall. */
const maxMisses = 2;
const orderKey = 'store feed';

/**
 * Selects the few entries of a region that read the store themselves. The others read from those, so
 * that the traffic between the store and the region doesn't grow with the number of entries.
 */
export class FeedReaders {
  /** Entries of the region in the order in which they become readers. */
  private order: readonly string[] = [];

  private readonly readersPerRegion: number;

  /** Time until which an entry is avoided, by name. */
  private readonly avoidedUntil = new Map<string, number>();

  /** Calls in a row that an entry has not responded to, by name. */
  private readonly misses = new Map<string, number>();

  constructor(
    /** Name of this entry. */
    private readonly self: string,
    /** Number of regions in the fleet. */
    regions: number,
  ) {
    const share = Math.floor(maxReaders / regions);
    this.readersPerRegion = Math.min(maxReadersPerRegion, Math.max(1, share));
  }

  /** Replaces the names of the region's entries. */
  setEntries(names: readonly string[]): void {
    this.order = rendezvousOrder(orderKey, names, (name) => name);
    this.avoidedUntil.forEach((_until, name) => {
      if (!names.includes(name)) this.avoidedUntil.delete(name);
    });
    this.misses.clear();
  }

  /** Avoids an entry that has failed as a source, so that the next in order takes its place. */
  recordFailure(name: string, now: number): void {
    this.avoidedUntil.set(name, now + avoidanceMs);
  }

  /** Tries all entries again: what they failed by may concern this entry, too. */
  forgetFailures(): void {
    this.avoidedUntil.clear();
    this.misses.clear();
  }

  /** Records whether an entry has responded to a call, if only that it has no content. */
  recordCall(name: string, hasResponded: boolean, now: number): void {
    const misses = hasResponded ? 0 : (this.misses.get(name) ?? 0) + 1;
    this.misses.set(name, misses);
    if (misses >= maxMisses) this.recordFailure(name, now);
  }

  /** Whether the entries of the region are known. */
  get isKnown(): boolean {
    return this.order.length > 0;
  }

  /** Whether this entry is one of those that read the store. */
  isReader(now: number): boolean {
    return this.isKnown && this.pickSource(now) === undefined;
  }

  /** Returns the entries that are the first to have the store's content again after an outage, without this one. */
  pickForerunners(now: number): readonly string[] {
    return this.getUsable(now)
      .filter((name) => name !== this.self)
      .slice(0, maxReadersPerRegion);
  }

  /** Whether there are entries that read from others. */
  get hasFollowers(): boolean {
    return this.order.length > this.readersPerRegion;
  }

  /** Returns the entry to read from, or undefined if this entry is to read the store itself. */
  pickSource(now: number): string | undefined {
    const readers = this.getUsable(now).slice(0, this.readersPerRegion);
    if (readers.includes(this.self)) return undefined;
    return rendezvousOrder(this.self, readers, (name) => name)[0];
  }

  private getUsable(now: number): readonly string[] {
    return this.order.filter((name) => (this.avoidedUntil.get(name) ?? -Infinity) <= now);
  }
}
