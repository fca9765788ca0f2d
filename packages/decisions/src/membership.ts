import { hash32 } from '@laburnumstream/common';

/** What a record says of a member. */
export const MemberState = { alive: 'alive', leaving: 'leaving', gone: 'gone' } as const;

/** One of the values of {@link MemberState}. */
export type MemberState = (typeof MemberState)[keyof typeof MemberState];

/** How one process judges a member now. */
export const MemberStatus = { ...MemberState, suspect: 'suspect' } as const;

/** One of the values of {@link MemberStatus}. */
export type MemberStatus = (typeof MemberStatus)[keyof typeof MemberStatus];

/** What processes tell each other of a member. A later incarnation wins, then a later beat. */
export interface MemberRecord {
  readonly name: string;
  readonly role: 'entry' | 'agent';
  /** Grows with each start of the member. */
  readonly incarnation: number;
  /** Number of the heartbeat that the record rests on. */
  readonly beat: number;
  readonly state: MemberState;
  readonly region: string;
  readonly dataCentre: string;
  readonly service: string;
  readonly address: string;
  /** Digests of the weights that the endpoint serves. */
  readonly serving: readonly string[];
  /** Admission limit of the endpoint, in work units. */
  readonly limit: number;
  /** Set while the endpoint holds a version for unfit to serve. */
  readonly unfit?: UnfitVersion;
}

/** A version that an endpoint holds for unfit, by the digest of its manifest. */
export interface UnfitVersion {
  readonly digest: string;
  readonly reason: string;
}

/** Bounds of the judgement, in milliseconds. */
export interface MembershipTimeouts {
  /** Silence after which a member that reports here gets no new work. */
  readonly suspectMs: number;
  /** Silence after which it counts as gone, and others are told. */
  readonly timeoutMs: number;
  /** Age of the last news from another data centre after which its members are left out. */
  readonly dataCentreTimeoutMs: number;
  /** Time for which a gone member is remembered, so that old news cannot bring it back. */
  readonly retentionMs: number;
}

/** Records that changed after a cursor, and the cursor after them. */
export interface MembershipChanges {
  readonly records: readonly MemberRecord[];
  readonly cursor: number;
}

/** Entries report less often than agents: their silence counts by this factor. */
const entryPatience = 2;

interface Known {
  record: MemberRecord;
  /** Place of the last change in the order of changes. */
  changed: number;
  changedAt: number;
  /** The last heartbeat that came here directly; absent when others know better. */
  heard: { beat: number; at: number } | undefined;
}

/** Whether record `a` is newer than record `b` of the same member. */
export function supersedes(a: MemberRecord, b: MemberRecord): boolean {
  if (a.incarnation !== b.incarnation) return a.incarnation > b.incarnation;
  if (a.beat !== b.beat) return a.beat > b.beat;
  return a.state === MemberState.gone && b.state !== MemberState.gone;
}

/** Whether two records differ in nothing that other processes act on. */
function sameContent(a: MemberRecord, b: MemberRecord): boolean {
  return (
    a.incarnation === b.incarnation &&
    a.state === b.state &&
    a.address === b.address &&
    a.unfit?.digest === b.unfit?.digest &&
    a.serving.length === b.serving.length &&
    a.serving.every((digest, index) => digest === b.serving[index])
  );
}

function patienceOf({ role }: MemberRecord): number {
  return role === 'entry' ? entryPatience : 1;
}

function digestOf({ record }: Known): number {
  if (record.state === MemberState.gone) return 0;
  const { name, incarnation, state, address, serving } = record;
  return hash32(`${name} ${incarnation} ${state} ${address} ${serving.join()}`);
}

function isLater(record: MemberRecord, { heard, record: known }: Known): boolean {
  return (
    record.incarnation === known.incarnation && heard !== undefined && record.beat > heard.beat
  );
}

/** Whether a later heartbeat is known here than the one on which news of a member's end rest. */
function isRefuted(record: MemberRecord, { record: known, heard }: Known): boolean {
  return (
    record.incarnation === known.incarnation &&
    record.state === MemberState.gone &&
    known.state !== MemberState.gone &&
    record.beat < Math.max(known.beat, heard?.beat ?? 0)
  );
}

/**
 * The members as one entry knows them: from heartbeats that come here, and from records of other
 * entries. Only changes are passed on; a heartbeat that changes nothing costs no further message.
 */
export class Membership {
  private readonly members = new Map<string, Known>();

  private readonly confirmed = new Map<string, number>();

  private changes = 0;

  private digestSum = 0;

  constructor(
    private readonly dataCentre: string,
    private readonly bounds: MembershipTimeouts,
  ) {}

  /** Grows with each change of a record. */
  get revision(): number {
    return this.changes;
  }

  /** Equal in processes that hold the same records of members that are not gone. */
  get digest(): number {
    return this.digestSum;
  }

  get(name: string): MemberRecord | undefined {
    return this.members.get(name)?.record;
  }

  /** Takes a heartbeat from the member itself; returns the newest incarnation known of it. */
  recordHeartbeat(record: MemberRecord, now: number): number {
    const known = this.members.get(record.name);
    if (known && !supersedes(record, known.record) && !isLater(record, known)) {
      return known.record.incarnation;
    }
    const heard = { beat: record.beat, at: now };
    if (known && sameContent(known.record, record)) known.heard = heard;
    else this.store(record, now, heard);
    return record.incarnation;
  }

  /** Takes a record from another entry; returns whether it was news. */
  mergeRecord(record: MemberRecord, now: number): boolean {
    const known = this.members.get(record.name);
    if (!known) {
      this.store(record, now, undefined);
      return true;
    }
    if (isRefuted(record, known)) {
      // Say so instead of taking the old news.
      const beat = Math.max(known.record.beat, known.heard?.beat ?? 0);
      this.store({ ...known.record, beat }, now, known.heard);
      return false;
    }
    if (!supersedes(record, known.record)) return false;
    if (sameContent(record, known.record)) {
      // A later heartbeat alone is no news to anyone.
      known.record = record;
      return false;
    }
    const heard = known.heard && known.heard.beat >= record.beat ? known.heard : undefined;
    const restarted = record.incarnation !== known.record.incarnation;
    this.store(record, now, restarted ? undefined : heard);
    return true;
  }

  /** Declares members gone that have been silent for too long; forgets those gone for long. */
  sweep(now: number): void {
    const { timeoutMs, retentionMs } = this.bounds;
    this.members.forEach((known, name) => {
      const { record, heard, changedAt } = known;
      const isGone = record.state === MemberState.gone;
      if (isGone && now - changedAt > retentionMs) this.members.delete(name);
      if (!isGone && heard && now - heard.at > timeoutMs * patienceOf(record)) {
        this.store({ ...record, beat: heard.beat, state: MemberState.gone }, now, undefined);
      }
    });
  }

  /** Declares a member gone that could not be reached for long; its observers can refute it. */
  declareGone(name: string, now: number): void {
    const known = this.members.get(name);
    if (!known || known.heard || known.record.state === MemberState.gone) return;
    this.store({ ...known.record, state: MemberState.gone }, now, undefined);
  }

  /** This process stood still for a while: that silence was not the members'. */
  skipPause(gapMs: number): void {
    this.members.forEach(({ heard }) => {
      if (heard) Object.assign(heard, { at: heard.at + gapMs });
    });
    this.confirmed.forEach((at, name) => this.confirmed.set(name, at + gapMs));
  }

  /** A data centre's own entries were heard `ageMs` ago, here or through others. */
  confirmDataCentre(dataCentre: string, ageMs: number, now: number): void {
    const at = now - Math.max(0, ageMs);
    if (at > (this.confirmed.get(dataCentre) ?? -Infinity)) this.confirmed.set(dataCentre, at);
  }

  /** Ages of the last news of each data centre, in milliseconds. */
  dataCentreAges(now: number): { dataCentre: string; ageMs: number }[] {
    this.confirmed.set(this.dataCentre, now);
    return [...this.confirmed].map(([dataCentre, at]) => ({ dataCentre, ageMs: now - at }));
  }

  /** Whether news of a data centre are recent enough to send work there. */
  isReachable(dataCentre: string, now: number): boolean {
    if (dataCentre === this.dataCentre) return true;
    const at = this.confirmed.get(dataCentre) ?? -Infinity;
    return now - at <= this.bounds.dataCentreTimeoutMs;
  }

  /** The judgement of a member now. */
  status(name: string, now: number): MemberStatus {
    const known = this.members.get(name);
    if (!known) return MemberStatus.gone;
    const { record, heard } = known;
    if (record.state !== MemberState.alive) return record.state;
    if (heard) {
      const longest = this.bounds.suspectMs * patienceOf(record);
      return now - heard.at > longest ? MemberStatus.suspect : MemberStatus.alive;
    }
    return this.isReachable(record.dataCentre, now) ? MemberStatus.alive : MemberStatus.suspect;
  }

  /** All records of members that are not gone. */
  presentRecords(): MemberRecord[] {
    const records: MemberRecord[] = [];
    this.members.forEach(({ record }) => {
      if (record.state !== MemberState.gone) records.push(record);
    });
    return records;
  }

  /** The records that changed after a cursor; 0 gives all. */
  changesAfter(cursor: number): MembershipChanges {
    const records: MemberRecord[] = [];
    if (cursor < this.changes) {
      this.members.forEach(({ record, changed }) => {
        if (changed > cursor) records.push(record);
      });
    }
    return { records, cursor: this.changes };
  }

  private store(record: MemberRecord, now: number, heard: Known['heard']): void {
    const before = this.members.get(record.name);
    this.changes += 1;
    const known = { record, changed: this.changes, changedAt: now, heard };
    this.members.set(record.name, known);
    this.digestSum = this.digestSum - (before ? digestOf(before) : 0) + digestOf(known);
  }
}
