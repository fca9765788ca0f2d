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
import { createClient, toMember, toRecord } from '@laburnumstream/links';
import type { LinkPool, MessageInitShape } from '@laburnumstream/links';
import { EntryService, ExchangeResponseSchema } from '@laburnumstream/protocol';
import type { DataCentreAge, ExchangeRequest, ExchangeResponse } from '@laburnumstream/protocol';
import type { Directory } from './directory.js';

/** What is known of a peer's knowledge. */
interface PeerView {
  /** The peer holds all own changes up to here. */
  cursor: number;
  mismatches: number;
  lastAllAt: number;
  /** Time before all records are sent again, in milliseconds; grows while that does not help. */
  allPauseMs: number;
  busy: boolean;
}

type Answer = MessageInitShape<typeof ExchangeResponseSchema>;

const partnerCount = 3;
const bridgeCount = 2;
/** Time in which changes are collected before they are passed on, in milliseconds. */
const collectMs = 100;
const answerMs = 1_000;
const mismatchesBeforeAll = 3;
/** Time in which a new entry without others to ask hears the members' heartbeats, in milliseconds. */
const aloneMs = 4_000;
const firstAllPauseMs = 2_000;
const longestAllPauseMs = 60_000;

const firstView: PeerView = {
  cursor: 0,
  mismatches: 0,
  lastAllAt: -Infinity,
  allPauseMs: firstAllPauseMs,
  busy: false,
};

/** Compares members with a few other entries and passes changes on. */
export class MemberExchange {
  private readonly views = new Map<string, PeerView>();

  private readonly turns = new Map<string, number>();

  private beat = 0;

  private informed = false;

  private leaving = false;

  private incarnation: number;

  private readonly startedAt: number;

  private wake = new AbortController();

  constructor(
    private readonly self: Peer,
    private readonly directory: Directory,
    private readonly listed: () => readonly Instance[],
    private readonly links: LinkPool,
    private readonly clock: Clock,
    private readonly intervalMs: number,
    private readonly log: Log,
  ) {
    this.incarnation = clock.wall();
    this.startedAt = clock.now();
  }

  /** Exchanges until the signal fires. */
  async run(signal: AbortSignal): Promise<void> {
    signal.addEventListener('abort', () => this.wake.abort(), { once: true });
    let due = 0;
    while (!signal.aborted) {
      const now = this.clock.now();
      const regular = now >= due;
      if (regular) due = now + this.intervalMs;
      this.directory.members.sweep(now);
      this.targets()
        .filter(({ name }) => regular || this.hasNews(name))
        .forEach((peer) => void this.exchange(peer, signal));
      await this.clock.sleep(collectMs, signal).catch(() => undefined);
      await this.untilDue(due);
    }
  }

  /** Whether this entry has heard of the members from another one, or had time to hear them itself. */
  get isInformed(): boolean {
    this.informed ||= this.hasWaited;
    return this.informed;
  }

  /** Whether this entry has had time to hear all members that live. */
  get hasWaited(): boolean {
    return this.clock.now() - this.startedAt > aloneMs;
  }

  /** Wakes the exchange when there is something to pass on. */
  nudge(): void {
    this.wake.abort();
  }

  /** Tells the partners that this entry leaves. */
  async withdraw(signal: AbortSignal): Promise<void> {
    this.leaving = true;
    await Promise.all(this.targets().map((peer) => this.exchange(peer, signal)));
  }

  /** Answers the exchange of another entry. */
  answer(request: ExchangeRequest): Answer {
    const { members } = this.directory;
    const now = this.clock.now();
    const name = request.self?.name ?? '';
    const view = this.viewOf(name);
    const before = members.revision;
    let knownIncarnation = 0;
    if (request.self) knownIncarnation = this.hear(request.self);
    this.take(request.members, request.ages);
    // What has just come from the peer need not go back to it.
    if (view.cursor === before) view.cursor = members.revision;
    const { records, cursor } = members.changesAfter(request.all ? 0 : view.cursor);
    view.cursor = cursor;
    if (members.revision !== before) this.nudge();
    return {
      members: records.map(toMember),
      digest: members.digest,
      ages: this.ages(now),
      knownIncarnation: BigInt(knownIncarnation),
    };
  }

  /** The entries that are not known to leave or to be gone. */
  private entries(): Peer[] {
    const { members } = this.directory;
    const now = this.clock.now();
    const known = members.presentRecords().filter(({ role }) => role === 'entry');
    const listed = this.listed().filter(({ name }) => !members.get(name));
    return [...known, ...listed].filter(({ name }) => {
      const standing = members.get(name) ? members.status(name, now) : MemberStatus.alive;
      return standing === MemberStatus.alive || standing === MemberStatus.suspect;
    });
  }

  private targets(): Peer[] {
    this.renew();
    const entries = this.entries();
    const partners = choosePartners(this.self, entries, partnerCount);
    if (!isBridge(this.self, entries, bridgeCount)) return partners;
    const turn = (dataCentre: string): number => this.turns.get(dataCentre) ?? 0;
    return [...partners, ...chooseRemotes(this.self, entries, turn)];
  }

  /** Renews the own record. */
  private renew(): MemberRecord {
    this.beat += 1;
    const { name, region, dataCentre, address } = this.self;
    const { incarnation, beat } = this;
    const state = this.leaving ? MemberState.leaving : MemberState.alive;
    const place = { name, region, dataCentre, address, service: '', serving: [], limit: 0 };
    const record = { ...place, role: 'entry' as const, incarnation, beat, state };
    this.directory.members.recordHeartbeat(record, this.clock.now());
    return record;
  }

  private viewOf(name: string): PeerView {
    let view = this.views.get(name);
    if (!view) {
      const cursor = this.directory.members.revision;
      view = { ...firstView, cursor };
      this.views.set(name, view);
    }
    return view;
  }

  private hasNews(name: string): boolean {
    return this.viewOf(name).cursor < this.directory.members.revision;
  }

  private async exchange(peer: Peer, signal: AbortSignal): Promise<void> {
    const view = this.viewOf(peer.name);
    if (view.busy) return;
    view.busy = true;
    try {
      const all = this.wantsAll(view);
      const { records, cursor } = this.directory.members.changesAfter(all ? 0 : view.cursor);
      const request = {
        self: toMember(this.renew()),
        members: records.map(toMember),
        digest: this.directory.members.digest,
        ages: this.ages(this.clock.now()),
        all,
      };
      const client = createClient(EntryService, this.links.to(peer.address));
      const answer = await client.exchange(request, { signal, timeoutMs: answerMs });
      this.accept(view, cursor, answer);
      this.informed ||= all && answer.members.some(({ role }) => role === 'agent');
      this.noteDigest(view, all, answer.digest);
    } catch (error) {
      this.links.replace(peer.address);
      const { dataCentre, name } = peer;
      this.turns.set(dataCentre, (this.turns.get(dataCentre) ?? 0) + 1);
      this.log.debug('Exchange failed.', { peer: name, type: toFailure(error).type });
    } finally {
      view.busy = false;
    }
  }

  private accept(view: PeerView, cursor: number, answer: ExchangeResponse): void {
    const { members } = this.directory;
    const before = members.revision;
    if (Number(answer.knownIncarnation) > this.incarnation) {
      this.incarnation = Number(answer.knownIncarnation) + 1;
    }
    this.take(answer.members, answer.ages);
    const noneBetween = cursor === before;
    Object.assign(view, { cursor: noneBetween ? members.revision : cursor });
    if (members.revision !== before) this.nudge();
  }

  /** All records go out from a new entry, and later only when digests stay apart for long. */
  private wantsAll(view: PeerView): boolean {
    if (!this.informed) return true;
    const paused = this.clock.now() - view.lastAllAt > view.allPauseMs;
    return view.mismatches >= mismatchesBeforeAll && paused;
  }

  private noteDigest(view: PeerView, all: boolean, digest: number): void {
    const equal = digest === this.directory.members.digest;
    const longer = Math.min(view.allPauseMs * 2, longestAllPauseMs);
    const allPauseMs = all ? longer : view.allPauseMs;
    const mismatches = equal ? 0 : view.mismatches + 1;
    const lastAllAt = all ? this.clock.now() : view.lastAllAt;
    Object.assign(view, {
      mismatches: all ? 0 : mismatches,
      lastAllAt,
      allPauseMs: equal ? firstAllPauseMs : allPauseMs,
    });
  }

  private take(records: ExchangeResponse['members'], ages: readonly DataCentreAge[]): void {
    const now = this.clock.now();
    records.forEach((member) => this.directory.learn(member));
    ages.forEach(({ dataCentre, ageMs }) => this.directory.members.confirmDataCentre(dataCentre, ageMs, now));
  }

  /** Entries of other data centres are not observed from here: links between them may be cut. */
  private hear(self: NonNullable<ExchangeRequest['self']>): number {
    if (self.dataCentre === this.self.dataCentre) return this.directory.beat(self);
    this.directory.learn(self);
    return this.directory.members.get(toRecord(self).name)?.incarnation ?? 0;
  }

  private ages(now: number): { dataCentre: string; ageMs: number }[] {
    return this.directory.members
      .dataCentreAges(now)
      .map(({ dataCentre, ageMs }) => ({ dataCentre, ageMs: Math.round(ageMs) }));
  }

  private async untilDue(due: number): Promise<void> {
    const wait = Math.max(0, due - this.clock.now());
    await this.clock.sleep(wait, this.wake.signal).catch(() => undefined);
    if (this.wake.signal.aborted) this.wake = new AbortController();
  }
}
