import { HistoryLost, NotFound, OldProof, toFailure } from '@laburnumstream/common';
import type {
  DatedChanges,
  DatedFeed,
  DatedSnapshot,
  FleetSettings,
  Log,
  Metrics,
  Provenance,
  SleepAwareClock,
  StoreChange,
  StoreFeed,
  StorePosition,
  StoredValue,
} from '@laburnumstream/common';
import { FeedReaders } from '@laburnumstream/decisions';
import type { ChangeDate } from '@laburnumstream/decisions';
import { DatedStore } from './datedStore.js';
import { FeedSource } from './feedProtocol.js';
import { FeedClient } from './feedClient.js';
import type { RelayedChanges } from './feedClient.js';
import { FeedServer } from './feedServer.js';
import { EntryPeers } from '../peers/entryPeers.js';
import type { FleetState } from '../fleet/fleetState.js';
import { StoreMirror } from './storeMirror.js';

/** Longest wait for a change at the store of an entry that others read from, in milliseconds. */
const readerWaitMs = 700;
/** Longest wait for a change at another entry, in milliseconds: its failure shows only after it. */
const entryWaitMs = 600;
/** Wait of a call to any source that follows a failed call to another entry, in milliseconds. */
const fallbackWaitMs = 50;
/** Time after which no further entry is tried, in milliseconds: one silent entry is waited for. */
const maxAttemptsMs = 1_300;
/** Age from which the proof of an entry that reads from others is too old, in milliseconds. */
const maxProofAgeMs = 2_600;
/** Offset of the port at which the feed is served from the first port of an instance. */
const feedPortOffset = 1;

/** Revision after which a read returns the whole content. */
const wholeContent = 0;

/** Whether a position of the store is before another one. */
function isBefore(one: StorePosition, other: StorePosition | undefined): boolean {
  const epoch = one.epoch ?? 0;
  const otherEpoch = other?.epoch ?? 0;
  return epoch < otherEpoch || (epoch === otherEpoch && one.revision < (other?.revision ?? 0));
}

function toStoredValue({ key, value, revision }: StoreChange): StoredValue[] {
  return value === undefined ? [] : [{ key, value, revision }];
}

/** Returns the date of the oldest change in a response to a call at `calledAt`. */
function readDate({ changeAgeMs, unseenMs }: Provenance, calledAt: number): ChangeDate {
  return { changedAt: calledAt - changeAgeMs, unseenMs };
}

/**
 * The store's content for an entry: a few entries of each region read the store, the others read from
 * those. So a link between regions carries a few copies of each change, however many entries there are.
 */
export class RegionalFeed implements DatedFeed {
  private readonly mirror = new StoreMirror();

  private readonly client = new FeedClient();

  private readonly server: FeedServer;

  private readonly readers: FeedReaders;

  private readonly store: DatedStore;

  /** Revision of the registered entries that `readers` were selected from. */
  private readersRevision = -1;

  /** Time of the last response of any source on the proof clock; undefined before the first one. */
  private respondedAt: number | undefined;

  private readonly peers: EntryPeers;

  /** What this entry reads from; an entry that reads from others may be in a circle of them. */
  private source: FeedSource = FeedSource.entry;

  /** Whether the last call to the store has failed. */
  private isStoreFailing = false;

  /** Time since when the store owes the next part of a response; undefined once it has responded in full. */
  private silentSince: number | undefined;

  constructor(
    store: StoreFeed,
    private readonly settings: FleetSettings,
    private readonly state: FleetState,
    private readonly proofClock: SleepAwareClock,
    private readonly metrics: Metrics,
    private readonly log: Log,
  ) {
    this.server = new FeedServer(
      this.mirror,
      proofClock,
      () => this.getSilenceMs(),
      () => this.source,
      log,
    );
    this.store = new DatedStore(store, proofClock, settings.bounds);
    this.readers = new FeedReaders(settings.instance, new Set(settings.regions.values()).size);
    this.peers = new EntryPeers(settings, state);
  }

  /** Serves the content to other entries until the signal fires. */
  listen(signal: AbortSignal): Promise<void> {
    const { host, firstPort } = this.settings;
    signal.addEventListener('abort', () => this.client.close());
    return this.server.listen(host, firstPort + feedPortOffset, signal);
  }

  async snapshot(prefix: string, signal?: AbortSignal): Promise<DatedSnapshot> {
    const startedAt = this.proofClock.now();
    const after = { revision: wholeContent, epoch: this.mirror.position?.epoch };
    const relayed = await this.readFromEntries(after, 0, startedAt, signal);
    if (relayed) return { ...relayed, values: relayed.changes.flatMap(toStoredValue) };
    return this.readStore(
      startedAt,
      (onProgress) => this.store.snapshot(prefix, signal, onProgress),
      (content, date) => this.mirror.applySnapshot(content, date),
      signal,
    );
  }

  async changes(
    prefix: string,
    after: StorePosition,
    waitMs: number,
    signal?: AbortSignal,
  ): Promise<DatedChanges> {
    const startedAt = this.proofClock.now();
    const isReader = this.pickSource() === undefined;
    const entriesWaitMs = Math.min(waitMs, entryWaitMs);
    const relayed = await this.readFromEntries(after, entriesWaitMs, startedAt, signal);
    if (relayed) return relayed;
    const maxWaitMs = isReader ? this.getReaderWaitMs(waitMs) : fallbackWaitMs;
    const storeWaitMs = Math.min(waitMs, maxWaitMs);
    return this.readStore(
      startedAt,
      (onProgress) => this.store.changes(prefix, after, storeWaitMs, signal, onProgress),
      (content, date) => this.mirror.applyChanges(content, date),
      signal,
    );
  }

  /** Time for which the store owes the next part of a response, in milliseconds. */
  private getSilenceMs(): number {
    return this.silentSince === undefined ? 0 : this.proofClock.now() - this.silentSince;
  }

  /** The wait of a call to the store, which is shorter while other entries depend on this one. */
  private getReaderWaitMs(waitMs: number): number {
    return this.readers.hasFollowers ? Math.min(waitMs, readerWaitMs) : waitMs;
  }

  /** Tries other entries for up to `maxAttemptsMs`; returns undefined if none can be read from. */
  private async readFromEntries(
    after: StorePosition,
    waitMs: number,
    startedAt: number,
    signal?: AbortSignal,
  ): Promise<RelayedChanges | undefined> {
    let source = this.pickSource();
    let sourceWaitMs = waitMs;
    while (source !== undefined && this.proofClock.now() - startedAt < maxAttemptsMs) {
      const relayed = await this.readEntry(source, after, sourceWaitMs, startedAt, signal);
      if (relayed) return relayed;
      source = this.pickSource();
      sourceWaitMs = Math.min(waitMs, fallbackWaitMs);
    }
    return undefined;
  }

  /** Returns the name of the entry to read from; undefined if this entry reads the store itself. */
  private pickSource(): string | undefined {
    const { entriesRevision } = this.state;
    if (entriesRevision !== this.readersRevision) {
      this.readers.setEntries(this.peers.regionNames);
      this.readersRevision = entriesRevision;
    }
    return this.readers.pickSource(this.proofClock.now());
  }

  /**
   * Reads from another entry; returns undefined if it can't be reached or has nothing recent. The age of the changes
   * is that at `startedAt`, as other entries may have been tried before.
   */
  private async readEntry(
    source: string,
    after: StorePosition,
    waitMs: number,
    startedAt: number,
    signal?: AbortSignal,
  ): Promise<RelayedChanges | undefined> {
    const calledAt = this.proofClock.now();
    try {
      const address = this.getFeedAddress(source);
      const relayed = await this.client.read(address, after, waitMs, signal);
      const { proofAgeMs } = relayed.provenance;
      const isWhole = after.revision === wholeContent;
      if (!isWhole && relayed.epoch !== after.epoch) throw new HistoryLost(address);
      if (
        (!relayed.isFromReader && proofAgeMs > maxProofAgeMs) ||
        (isWhole && isBefore(relayed, this.mirror.position))
      )
        throw new OldProof(address, proofAgeMs);
      const { changedAt, unseenMs } = this.dateRelayed(after, relayed, calledAt);
      this.applyRelayed(after, relayed, calledAt);
      const changeAgeMs = startedAt - changedAt;
      return { ...relayed, provenance: { ...relayed.provenance, changeAgeMs, unseenMs } };
    } catch (error) {
      if (signal?.aborted || error instanceof HistoryLost) throw error;
      this.readers.recordFailure(source, this.proofClock.now());
      const { type, message: reason } = toFailure(error);
      this.log.info('Another entry can not be read from.', { source, type, reason });
      return undefined;
    }
  }

  private getFeedAddress(source: string): string {
    const location = this.state.entryLocations.get(source);
    if (!location) throw new NotFound(`The entry ${source} is not registered.`);
    return `${location.host}:${this.settings.firstPort + feedPortOffset}`;
  }

  /**
   * Returns the date of the oldest relayed change. A snapshot tells nothing of the changes before it, so that one is
   * dated by what this entry has read before.
   */
  private dateRelayed(
    after: StorePosition,
    { provenance }: RelayedChanges,
    calledAt: number,
  ): ChangeDate {
    if (after.revision === wholeContent)
      return this.store.dating.dateChanges(this.proofClock.now());
    return readDate(provenance, calledAt);
  }

  private applyRelayed(after: StorePosition, relayed: RelayedChanges, calledAt: number): void {
    const { changes, provenance } = relayed;
    const now = this.proofClock.now();
    const date = readDate(provenance, calledAt);
    if (after.revision === wholeContent) {
      const values = changes.flatMap(toStoredValue);
      this.mirror.applySnapshot({ ...relayed, values }, date);
    } else {
      this.mirror.applyChanges(relayed, date);
    }
    this.mirror.confirm(calledAt - provenance.proofAgeMs);
    this.store.dating.recordResponse(calledAt - provenance.proofAgeMs);
    const { outage } = provenance;
    if (outage) this.mirror.recordOutage(outage.durationMs, now - outage.endedMsAgo);
    this.handleResponse(FeedSource.entry, now);
  }

  /** Reads from the store and passes the date of the oldest change to `apply`; the ages are those at `startedAt`. */
  private async readStore<Content extends DatedSnapshot | DatedChanges>(
    startedAt: number,
    read: (onProgress: () => void) => Promise<Content>,
    apply: (content: Content, date: ChangeDate) => void,
    signal?: AbortSignal,
  ): Promise<Content> {
    const calledAt = this.proofClock.now();
    const recordProgress = (): void => {
      this.silentSince = this.proofClock.now();
    };
    try {
      this.silentSince ??= calledAt;
      const content = await read(recordProgress);
      const now = this.proofClock.now();
      const { provenance } = content;
      const date = readDate(provenance, calledAt);
      apply(content, date);
      this.mirror.confirm(calledAt);
      if (this.isStoreFailing) this.mirror.recordOutage(now - (this.respondedAt ?? now), now);
      this.handleResponse(FeedSource.store, now);
      return { ...content, provenance: { ...provenance, changeAgeMs: startedAt - date.changedAt } };
    } catch (error) {
      if (signal?.aborted) this.silentSince = undefined;
      else this.isStoreFailing = true;
      throw error;
    }
  }

  private handleResponse(source: FeedSource, now: number): void {
    this.source = source;
    this.respondedAt = now;
    this.isStoreFailing = false;
    this.silentSince = undefined;
    this.metrics.count('feed_reads', { source });
    this.server.notifyChange();
  }
}
