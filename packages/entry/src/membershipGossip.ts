import { toFailure } from '@laburnumstream/common';
import type { Clock, Instance, Log } from '@laburnumstream/common';
import {
  MemberState,
  chooseRemotes,
  choosePartners,
  isBridge,
  MemberStatus,
} from '@laburnumstream/decisions';
import type { MemberRecord, Peer } from '@laburnumstream/decisions';
import { createClient, toMemberMessage, toMemberRecord } from '@laburnumstream/links';
import type { LinkPool, MessageInitShape } from '@laburnumstream/links';
import { EntryService, ExchangeResponseSchema } from '@laburnumstream/protocol';
import type { DataCentreAge, ExchangeRequest, ExchangeResponse } from '@laburnumstream/protocol';
import type { MemberDirectory } from './memberDirectory.js';

/** State of the exchange with one peer. */
interface PeerState {
  /** Membership revision up to which the peer has received all changes. */
  cursor: number;
  /** Consecutive exchanges after which the digests still differed. */
  digestMismatches: number;
  /** Monotonic time, in milliseconds. */
  lastFullSyncAt: number;
  /** Minimum time between full syncs; doubles while they leave the digests different. */
  fullSyncIntervalMs: number;
  isExchanging: boolean;
}

type ExchangeResponseInit = MessageInitShape<typeof ExchangeResponseSchema>;

const partnerCount = 3;
const bridgesPerDataCentre = 2;
/** Time for which changes are batched before they are sent. */
const batchMs = 100;
const timeoutMs = 1_000;
const mismatchesBeforeFullSync = 3;
/** Time within which a new entry without peers receives heartbeats from all live members. */
const startupWaitMs = 4_000;
const minFullSyncIntervalMs = 2_000;
const maxFullSyncIntervalMs = 60_000;

const initialPeerState: PeerState = {
  cursor: 0,
  digestMismatches: 0,
  lastFullSyncAt: -Infinity,
  fullSyncIntervalMs: minFullSyncIntervalMs,
  isExchanging: false,
};

/** Gossips membership records with a few other entries; sends only changes between full syncs. */
export class MembershipGossip {
  private readonly peerStates = new Map<string, PeerState>();

  /** By data centre: failed exchanges so far, which select the next entry to try there. */
  private readonly remoteOffsets = new Map<string, number>();

  private beat = 0;

  private hasSyncedMembers = false;

  private leaving = false;

  private incarnation: number;

  private readonly startedAt: number;

  private wake = new AbortController();

  constructor(
    private readonly self: Peer,
    private readonly directory: MemberDirectory,
    private readonly listEntries: () => readonly Instance[],
    private readonly links: LinkPool,
    private readonly clock: Clock,
    private readonly intervalMs: number,
    private readonly log: Log,
  ) {
    this.incarnation = clock.wall();
    this.startedAt = clock.now();
  }

  /** Gossips until the signal fires. */
  async run(signal: AbortSignal): Promise<void> {
    signal.addEventListener('abort', () => this.wake.abort(), { once: true });
    let nextDueAt = 0;
    while (!signal.aborted) {
      const now = this.clock.now();
      const isDue = now >= nextDueAt;
      if (isDue) nextDueAt = now + this.intervalMs;
      this.directory.members.sweep(now);
      this.selectPeers()
        .filter(({ name }) => isDue || this.hasPendingChanges(name))
        .forEach((peer) => void this.exchangeWith(peer, signal));
      await this.clock.sleep(batchMs, signal).catch(() => undefined);
      await this.waitUntilDue(nextDueAt);
    }
  }

  /** Whether the members are known, from a full sync or from heartbeats since the start. */
  get isSynced(): boolean {
    this.hasSyncedMembers ||= this.hasWaitedForHeartbeats;
    return this.hasSyncedMembers;
  }

  /** Whether this entry has run long enough to have received heartbeats from all live members. */
  get hasWaitedForHeartbeats(): boolean {
    return this.clock.now() - this.startedAt > startupWaitMs;
  }

  /** Wakes the gossip loop to send pending changes. */
  triggerExchange(): void {
    this.wake.abort();
  }

  /** Announces to the gossip partners that this entry is leaving. */
  async announceLeaving(signal: AbortSignal): Promise<void> {
    this.leaving = true;
    await Promise.all(this.selectPeers().map((peer) => this.exchangeWith(peer, signal)));
  }

  /** Handles another entry's exchange request. */
  handleExchange(request: ExchangeRequest): ExchangeResponseInit {
    const { members } = this.directory;
    const now = this.clock.now();
    const name = request.self?.name ?? '';
    const state = this.getPeerState(name);
    const before = members.revision;
    let knownIncarnation = 0;
    if (request.self) knownIncarnation = this.recordPeerHeartbeat(request.self);
    this.mergeRecords(request.members, request.ages);
    // Records that the peer has just sent are not sent back to it.
    if (state.cursor === before) state.cursor = members.revision;
    const { records, cursor } = members.changesAfter(request.all ? 0 : state.cursor);
    state.cursor = cursor;
    if (members.revision !== before) this.triggerExchange();
    return {
      members: records.map(toMemberMessage),
      digest: members.digest,
      ages: this.getDataCentreAges(now),
      knownIncarnation: BigInt(knownIncarnation),
    };
  }

  /** Entries that are neither leaving nor gone, including listed ones that have no record yet. */
  private getReachableEntries(): Peer[] {
    const { members } = this.directory;
    const now = this.clock.now();
    const known = members.presentRecords().filter(({ role }) => role === 'entry');
    const listed = this.listEntries().filter(({ name }) => !members.get(name));
    return [...known, ...listed].filter(({ name }) => {
      const standing = members.get(name) ? members.status(name, now) : MemberStatus.alive;
      return standing === MemberStatus.alive || standing === MemberStatus.suspect;
    });
  }

  private selectPeers(): Peer[] {
    this.refreshSelfRecord();
    const entries = this.getReachableEntries();
    const partners = choosePartners(this.self, entries, partnerCount);
    if (!isBridge(this.self, entries, bridgesPerDataCentre)) return partners;
    const offset = (dataCentre: string): number => this.remoteOffsets.get(dataCentre) ?? 0;
    return [...partners, ...chooseRemotes(this.self, entries, offset)];
  }

  /** Stores this entry's own record with the next heartbeat number. */
  private refreshSelfRecord(): MemberRecord {
    this.beat += 1;
    const { name, region, dataCentre, address } = this.self;
    const { incarnation, beat } = this;
    const state = this.leaving ? MemberState.leaving : MemberState.alive;
    const place = { name, region, dataCentre, address, service: '', serving: [], limit: 0 };
    const record = { ...place, role: 'entry' as const, incarnation, beat, state };
    this.directory.members.recordHeartbeat(record, this.clock.now());
    return record;
  }

  private getPeerState(name: string): PeerState {
    let state = this.peerStates.get(name);
    if (!state) {
      const cursor = this.directory.members.revision;
      state = { ...initialPeerState, cursor };
      this.peerStates.set(name, state);
    }
    return state;
  }

  private hasPendingChanges(name: string): boolean {
    return this.getPeerState(name).cursor < this.directory.members.revision;
  }

  private async exchangeWith(peer: Peer, signal: AbortSignal): Promise<void> {
    const state = this.getPeerState(peer.name);
    if (state.isExchanging) return;
    state.isExchanging = true;
    try {
      const isFullSync = this.needsFullSync(state);
      const { records, cursor } = this.directory.members.changesAfter(
        isFullSync ? 0 : state.cursor,
      );
      const request = {
        self: toMemberMessage(this.refreshSelfRecord()),
        members: records.map(toMemberMessage),
        digest: this.directory.members.digest,
        ages: this.getDataCentreAges(this.clock.now()),
        all: isFullSync,
      };
      const client = createClient(EntryService, this.links.transportTo(peer.address));
      const response = await client.exchange(request, { signal, timeoutMs });
      this.applyResponse(state, cursor, response);
      this.hasSyncedMembers ||= isFullSync && response.members.some(({ role }) => role === 'agent');
      this.updateSyncState(state, isFullSync, response.digest);
    } catch (error) {
      this.links.replace(peer.address);
      const { dataCentre, name } = peer;
      this.remoteOffsets.set(dataCentre, (this.remoteOffsets.get(dataCentre) ?? 0) + 1);
      this.log.debug('Membership exchange failed.', { peer: name, type: toFailure(error).type });
    } finally {
      state.isExchanging = false;
    }
  }

  private applyResponse(state: PeerState, cursor: number, response: ExchangeResponse): void {
    const { members } = this.directory;
    const before = members.revision;
    if (Number(response.knownIncarnation) > this.incarnation) {
      this.incarnation = Number(response.knownIncarnation) + 1;
    }
    this.mergeRecords(response.members, response.ages);
    const isUnchanged = cursor === before;
    Object.assign(state, { cursor: isUnchanged ? members.revision : cursor });
    if (members.revision !== before) this.triggerExchange();
  }

  /** A new entry exchanges all records; later that happens only when digests keep differing. */
  private needsFullSync(state: PeerState): boolean {
    if (!this.hasSyncedMembers) return true;
    const hasPaused = this.clock.now() - state.lastFullSyncAt > state.fullSyncIntervalMs;
    return state.digestMismatches >= mismatchesBeforeFullSync && hasPaused;
  }

  private updateSyncState(state: PeerState, isFullSync: boolean, digest: number): void {
    const isEqual = digest === this.directory.members.digest;
    const doubledMs = Math.min(state.fullSyncIntervalMs * 2, maxFullSyncIntervalMs);
    const fullSyncIntervalMs = isFullSync ? doubledMs : state.fullSyncIntervalMs;
    const digestMismatches = isEqual ? 0 : state.digestMismatches + 1;
    const lastFullSyncAt = isFullSync ? this.clock.now() : state.lastFullSyncAt;
    Object.assign(state, {
      digestMismatches: isFullSync ? 0 : digestMismatches,
      lastFullSyncAt,
      fullSyncIntervalMs: isEqual ? minFullSyncIntervalMs : fullSyncIntervalMs,
    });
  }

  private mergeRecords(
    records: ExchangeResponse['members'],
    dataCentreAges: readonly DataCentreAge[],
  ): void {
    const now = this.clock.now();
    records.forEach((member) => this.directory.mergeRecord(member));
    dataCentreAges.forEach(({ dataCentre, ageMs }) =>
      this.directory.members.confirmDataCentre(dataCentre, ageMs, now),
    );
  }

  /**
   * Heartbeat timeouts apply only to entries of the own data centre: a partition between data
   * centres must not make the others' entries count as gone.
   */
  private recordPeerHeartbeat(self: NonNullable<ExchangeRequest['self']>): number {
    if (self.dataCentre === this.self.dataCentre) return this.directory.recordHeartbeat(self);
    this.directory.mergeRecord(self);
    return this.directory.members.get(toMemberRecord(self).name)?.incarnation ?? 0;
  }

  private getDataCentreAges(now: number): { dataCentre: string; ageMs: number }[] {
    return this.directory.members
      .dataCentreAges(now)
      .map(({ dataCentre, ageMs }) => ({ dataCentre, ageMs: Math.round(ageMs) }));
  }

  private async waitUntilDue(dueAt: number): Promise<void> {
    const waitMs = Math.max(0, dueAt - this.clock.now());
    await this.clock.sleep(waitMs, this.wake.signal).catch(() => undefined);
    if (this.wake.signal.aborted) this.wake = new AbortController();
  }
}
