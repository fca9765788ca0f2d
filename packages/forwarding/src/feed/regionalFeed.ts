import { HistoryLost, NotFound, toFailure } from '@laburnumstream/common';
import type {
  DatedChanges,
  DatedSnapshot,
  FleetSettings,
  Log,
  Metrics,
  SleepAwareClock,
  StoreFeed,
  StorePosition,
  StoredValue,
} from '@laburnumstream/common';
import { FeedReaders } from '@laburnumstream/decisions';
import { recordClosed } from '@laburnumstream/runtime';
import type { ChangeDate } from '@laburnumstream/decisions';
import { CallRace } from './callRace.js';
import type { CallSeries, CallStart, RacingCall } from './callRace.js';
import { DatedStore } from './datedStore.js';
import { FeedSource } from './feedProtocol.js';
import { FeedClient } from './feedClient.js';
import type { RelayedChanges } from './feedClient.js';
import { checkRelayed, readDate, toStoredValue, wholeContent } from './feedRequest.js';
import type { DatedContent, FeedRead, FeedRequest } from './feedRequest.js';
import { FeedServer } from './feedServer.js';
import { Forerunners } from './forerunners.js';
import { EntryPeers } from '../peers/entryPeers.js';
import type { FleetFeed } from '../fleet/fleetFeed.js';
import type { FleetState } from '../fleet/fleetState.js';
import { probeIntervalMs } from './probeInterval.js';
import { StoreMirror } from './storeMirror.js';

/** Longest wait for a change at the store of an entry that others read from, in milliseconds. */
const readerWaitMs = 700;
/** Longest wait for a change at another entry, in milliseconds: its failure shows only after it. */
const entryWaitMs = 600;
/** Wait of a call to any source that follows a failed call to another entry, in milliseconds. */
const fallbackWaitMs = 50;
/** Time after which no further entry is tried, in milliseconds: one silent entry is waited for. */
const maxAttemptsMs = 1_300;
/** Wait for a change of a call that finds out whether the store responds again, in milliseconds. */
const probeWaitMs = 10;
/** Time for which an entry that starts waits for others that may start with it, in milliseconds. */
const startWaitMs = 200;
/** The same while they receive the content, in milliseconds. */
const maxStartWaitMs = 2_500;
/** Offset of the port at which the feed is served from the first port of an instance. */
const feedPortOffset = 1;

/**
 * The store's content for an entry: a few entries of each region read the store, the others read from
 * those. So a link between regions carries a few copies of each change, however many entries there are.
 */
export class RegionalFeed implements FleetFeed {
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

  /** Whether the store is unreachable, so that it and other entries are asked at the same time. */
  private isStoreAway = false;

  private readonly forerunners: Forerunners;

  /** Time since when the store owes the next part of a response; undefined once it has responded in full. */
  private silentSince: number | undefined;

  constructor(
    private readonly rawStore: StoreFeed,
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
      () => recordClosed(metrics, log, 'feed'),
    );
    this.store = new DatedStore(rawStore, proofClock, settings.bounds);
    this.readers = new FeedReaders(settings.instance, new Set(settings.regions.values()).size);
    this.peers = new EntryPeers(settings, state);
    this.forerunners = new Forerunners(
      this.readers,
      proofClock,
      (source) => this.getFeedAddress(source),
      () => ({ position: this.mirror.position, respondedAt: this.respondedAt }),
    );
  }

  /** Serves the content to other entries until the signal fires. */
  listen(signal: AbortSignal): Promise<void> {
    const { host, firstPort } = this.settings;
    const clients = [this.client, this.forerunners];
    signal.addEventListener('abort', () => clients.forEach((client) => client.close()));
    return this.server.listen(host, firstPort + feedPortOffset, signal);
  }

  /** Whether this entry reads the store itself. */
  get isReader(): boolean {
    return this.pickSource() === undefined;
  }

  async listEntries(prefix: string, signal: AbortSignal): Promise<readonly StoredValue[]> {
    return (await this.rawStore.snapshot(prefix, signal)).values;
  }

  async snapshot(prefix: string, signal?: AbortSignal): Promise<DatedSnapshot> {
    const startedAt = this.proofClock.now();
    const request: FeedRead<DatedSnapshot> = {
      kind: 'snapshot',
      after: { revision: wholeContent, epoch: this.mirror.position?.epoch },
      readStore: (_waitMs, call) =>
        this.store.snapshot(prefix, call.signal, call.onProgress, call.claim),
      apply: (content, date) => this.mirror.applySnapshot(content, date),
      toContent: (relayed) => ({ ...relayed, values: relayed.changes.flatMap(toStoredValue) }),
      startedAt,
      signal,
    };
    const isStarting = this.mirror.position === undefined && this.pickSource() !== undefined;
    if (this.isStoreAway || isStarting) return this.readFirst(request);
    const relayed = await this.readFromEntries(request, 0);
    return relayed ? request.toContent(relayed) : this.readDirectly(request, 0);
  }

  async changes(
    prefix: string,
    after: StorePosition,
    waitMs: number,
    signal?: AbortSignal,
  ): Promise<DatedChanges> {
    const startedAt = this.proofClock.now();
    const request: FeedRead<DatedChanges> = {
      kind: 'changes',
      after,
      readStore: (ms, call) =>
        this.store.changes(prefix, after, ms, call.signal, call.onProgress, call.claim),
      apply: (content, date) => this.mirror.applyChanges(content, date),
      toContent: (relayed) => relayed,
      startedAt,
      signal,
    };
    if (this.isStoreAway) return this.readFirst(request);
    const isReader = this.pickSource() === undefined;
    const relayed = await this.readFromEntries(request, Math.min(waitMs, entryWaitMs));
    if (relayed) return relayed;
    if (isReader) return this.readDirectly(request, this.getReaderWaitMs(waitMs));
    // While the store does not respond, others may hear from it first.
    const fallbackMs = Math.min(waitMs, fallbackWaitMs);
    return this.readDirectly(request, fallbackMs, this.createProofSeries(request));
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
    request: FeedRequest,
    waitMs: number,
  ): Promise<RelayedChanges | undefined> {
    let source = this.pickSource();
    let sourceWaitMs = waitMs;
    while (source !== undefined && this.proofClock.now() - request.startedAt < maxAttemptsMs) {
      const relayed = await this.readEntry(source, request, sourceWaitMs);
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

  /** Reads from another entry; returns undefined if it can't be reached or has nothing recent. */
  private async readEntry(
    source: string,
    request: FeedRequest,
    waitMs: number,
  ): Promise<RelayedChanges | undefined> {
    const { after, signal } = request;
    const calledAt = this.proofClock.now();
    try {
      const address = this.getFeedAddress(source);
      const relayed = await this.client.read(address, after, waitMs, signal);
      checkRelayed(relayed, after, this.mirror.position, address);
      return this.takeRelayed(relayed, request, calledAt);
    } catch (error) {
      if (signal?.aborted || error instanceof HistoryLost) throw error;
      this.readers.recordFailure(source, this.proofClock.now());
      const { type, message: reason } = toFailure(error);
      this.log.info('Another entry can not be read from.', { source, type, reason });
      return undefined;
    }
  }

  /** Applies the response to a call at `calledAt`; returns it with ages at the start of the request. */
  private takeRelayed(
    relayed: RelayedChanges,
    { after, startedAt }: FeedRequest,
    calledAt: number,
  ): RelayedChanges {
    const { changedAt, unseenMs } = this.dateRelayed(after, relayed, calledAt);
    this.applyRelayed(after, relayed, calledAt);
    const { provenance } = relayed;
    const changeAgeMs = startedAt - changedAt;
    const proofAgeMs = startedAt - (calledAt - provenance.proofAgeMs);
    return { ...relayed, provenance: { ...provenance, proofAgeMs, changeAgeMs, unseenMs } };
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

  /** Reads from the store, or from what responds first. */
  private readDirectly<Content extends DatedContent>(
    request: FeedRead<Content>,
    waitMs: number,
    others: readonly CallSeries<Content>[] = [],
  ): Promise<Content> {
    return this.race(request, others, (call) => this.readStore(request, waitMs, call));
  }

  /** Returns what comes first after the store has failed: its response, or that of an entry that has read from it. */
  private readFirst<Content extends DatedContent>(request: FeedRead<Content>): Promise<Content> {
    const fromStore: CallSeries<Content> = {
      getIntervalMs: () => {
        const isCutOff = this.source === FeedSource.entry;
        return probeIntervalMs(this.readers, request.kind, isCutOff, this.proofClock.now());
      },
      // An entry that starts leaves the first read to others while they make progress.
      isDue: () => this.isStoreAway || !this.hasStartingSource(request.startedAt),
      overlaps: true,
      start: async (call) => {
        await this.store.ping(call.signal);
        // The other calls end: of a large response only one copy may be on its way.
        call.onProgress();
        return this.readStore(request, probeWaitMs, call);
      },
    };
    return this.race(request, [fromStore, ...this.createProofSeries(request)]);
  }

  /** Whether another entry may soon have the content that this one has not had yet. */
  private hasStartingSource(startedAt: number): boolean {
    const waitedMs = this.proofClock.now() - startedAt;
    return waitedMs < (this.forerunners.isReading ? maxStartWaitMs : startWaitMs);
  }

  /** Returns calls to the entries that are the first to have the content. */
  private createProofSeries<Content>(request: FeedRead<Content>): CallSeries<Content>[] {
    return this.forerunners.createSeries(request.after, (relayed, calledAt) =>
      request.toContent(this.takeRelayed(relayed, request, calledAt)),
    );
  }

  private async race<Content extends DatedContent>(
    { signal }: FeedRead<Content>,
    series: readonly CallSeries<Content>[],
    first?: CallStart<Content>,
  ): Promise<Content> {
    try {
      return await new CallRace<Content>(signal).run(series, first);
    } catch (error) {
      if (signal?.aborted) this.silentSince = undefined;
      else this.handleFailure(error);
      throw error;
    }
  }

  /** Reads from the store and applies the response; its ages are those at the start of the request. */
  private async readStore<Content extends DatedContent>(
    { readStore, apply, startedAt }: FeedRead<Content>,
    waitMs: number,
    call: RacingCall,
  ): Promise<Content> {
    const calledAt = this.proofClock.now();
    const onProgress = (): void => {
      this.silentSince = this.proofClock.now();
      call.onProgress();
    };
    this.silentSince ??= calledAt;
    const content = await readStore(waitMs, { ...call, onProgress });
    const now = this.proofClock.now();
    const date = readDate(content.provenance, calledAt);
    apply(content, date);
    this.mirror.confirm(calledAt);
    if (this.isStoreFailing) this.mirror.recordOutage(now - (this.respondedAt ?? now), now);
    this.handleResponse(FeedSource.store, now);
    const ages = { proofAgeMs: startedAt - calledAt, changeAgeMs: startedAt - date.changedAt };
    return { ...content, provenance: { ...content.provenance, ...ages } };
  }

  private handleFailure(error: unknown): void {
    this.isStoreFailing = true;
    const isAway = !(error instanceof HistoryLost);
    // Entries that failed at the same time as the store are tried again: the cause may be the same.
    if (isAway && !this.isStoreAway) this.readers.forgetFailures();
    this.isStoreAway = isAway;
  }

  private handleResponse(source: FeedSource, now: number): void {
    this.source = source;
    this.respondedAt = now;
    this.isStoreFailing = false;
    this.metrics.count('feed_reads', { source });
    // A reader that the store does not respond to is no source for others, which may be those that it reads from.
    const isCutOff = source === FeedSource.entry && this.isStoreAway && this.readers.isReader(now);
    if (!isCutOff) {
      this.isStoreAway = false;
      this.silentSince = undefined;
      this.forerunners.close();
    }
    this.server.notifyChange();
  }
}
