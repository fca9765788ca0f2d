import { hash32 } from '@laburnumstream/common';

/** State of a member according to a record. */
export const MemberState = { alive: 'alive', leaving: 'leaving', gone: 'gone' } as const;

/** One of the values of {@link MemberState}. */
export type MemberState = (typeof MemberState)[keyof typeof MemberState];

/** Status of a member as this process sees it now. */
export const MemberStatus = { ...MemberState, suspect: 'suspect' } as const;

/** One of the values of {@link MemberStatus}. */
export type MemberStatus = (typeof MemberStatus)[keyof typeof MemberStatus];

/** Membership record that processes exchange. The higher incarnation wins, then the higher beat. */
export interface MemberRecord {
  readonly name: string;
  readonly role: 'entry' | 'agent';
  /** Increases with each start of the member. */
  readonly incarnation: number;
  /** Sequence number of the heartbeat that the record is based on. */
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
  /** Set while the endpoint considers a version unfit to serve. */
  readonly unfit?: UnfitVersion;
}

/** A version that an endpoint considers unfit, by the digest of its manifest. */
export interface UnfitVersion {
  readonly digest: string;
  readonly reason: string;
}

/** Timeouts of the failure detection, in milliseconds. */
export interface MembershipTimeouts {
  /** Silence after which a member that sends heartbeats here gets no new work. */
  readonly suspectMs: number;
  /** Silence after which such a member is declared gone, also to other processes. */
  readonly timeoutMs: number;
  /** Age of the last update from another data centre after which its members are left out. */
  readonly dataCentreTimeoutMs: number;
  /** Time for which a gone member is remembered, so that outdated records can't revive it. */
  readonly retentionMs: number;
}

/** Records that changed after a cursor, and the cursor to continue from. */
export interface MembershipChanges {
  readonly records: readonly MemberRecord[];
  readonly cursor: number;
}

/** Factor on the timeouts of entries, which send heartbeats less often than agents. */
const entryTimeoutFactor = 2;

interface KnownMember {
  record: MemberRecord;
  /** Value of the change counter at the last change. */
  changed: number;
  changedAt: number;
  /** The last heartbeat received directly; absent when other processes have later information. */
  heartbeat: { beat: number; at: number } | undefined;
}

/** Whether record `a` is newer than record `b` of the same member. */
export function supersedes(a: MemberRecord, b: MemberRecord): boolean {
  if (a.incarnation !== b.incarnation) return a.incarnation > b.incarnation;
  if (a.beat !== b.beat) return a.beat > b.beat;
  return a.state === MemberState.gone && b.state !== MemberState.gone;
}

/** Whether two records are equal in all that other processes act on. */
function isSameContent(a: MemberRecord, b: MemberRecord): boolean {
  return (
    a.incarnation === b.incarnation &&
    a.state === b.state &&
    a.address === b.address &&
    a.unfit?.digest === b.unfit?.digest &&
    a.serving.length === b.serving.length &&
    a.serving.every((digest, index) => digest === b.serving[index])
  );
}

function timeoutFactor({ role }: MemberRecord): number {
  return role === 'entry' ? entryTimeoutFactor : 1;
}

function recordDigest({ record }: KnownMember): number {
  if (record.state === MemberState.gone) return 0;
  const { name, incarnation, state, address, serving } = record;
  return hash32(`${name} ${incarnation} ${state} ${address} ${serving.join()}`);
}

function hasLaterBeat(record: MemberRecord, { heartbeat, record: known }: KnownMember): boolean {
  return (
    record.incarnation === known.incarnation &&
    heartbeat !== undefined &&
    record.beat > heartbeat.beat
  );
}

/** Whether a record declares a member gone although a later heartbeat of it is known. */
function isRefuted(record: MemberRecord, { record: known, heartbeat }: KnownMember): boolean {
  return (
    record.incarnation === known.incarnation &&
    record.state === MemberState.gone &&
    known.state !== MemberState.gone &&
    record.beat < Math.max(known.beat, heartbeat?.beat ?? 0)
  );
}

/**
 * The members as one entry knows them, from heartbeats that it receives and from records of other
 * entries. Only changes are propagated; a heartbeat without a change causes no further message.
 */
export class Membership {
  private readonly members = new Map<string, KnownMember>();

  /** Time of the last update from each data centre. */
  private readonly dataCentreUpdatedAt = new Map<string, number>();

  private changeCount = 0;

  private digestSum = 0;

  constructor(
    private readonly dataCentre: string,
    private readonly timeouts: MembershipTimeouts,
  ) {}

  /** Increases with each change of a record. */
  get revision(): number {
    return this.changeCount;
  }

  /** Equal in processes that hold the same records of members that are not gone. */
  get digest(): number {
    return this.digestSum;
  }

  get(name: string): MemberRecord | undefined {
    return this.members.get(name)?.record;
  }

  /** Records a heartbeat from the member itself; returns the highest known incarnation. */
  recordHeartbeat(record: MemberRecord, now: number): number {
    const known = this.members.get(record.name);
    if (known && !supersedes(record, known.record) && !hasLaterBeat(record, known)) {
      return known.record.incarnation;
    }
    const heartbeat = { beat: record.beat, at: now };
    if (known && isSameContent(known.record, record)) known.heartbeat = heartbeat;
    else this.setRecord(record, now, heartbeat);
    return record.incarnation;
  }

  /** Merges a record from another entry; returns whether it changed anything. */
  mergeRecord(record: MemberRecord, now: number): boolean {
    const known = this.members.get(record.name);
    if (!known) {
      this.setRecord(record, now, undefined);
      return true;
    }
    if (isRefuted(record, known)) {
      // Propagates the known record with its latest beat, which supersedes the outdated one.
      const beat = Math.max(known.record.beat, known.heartbeat?.beat ?? 0);
      this.setRecord({ ...known.record, beat }, now, known.heartbeat);
      return false;
    }
    if (!supersedes(record, known.record)) return false;
    if (isSameContent(record, known.record)) {
      // A later beat alone is not propagated.
      known.record = record;
      return false;
    }
    const heartbeat =
      known.heartbeat && known.heartbeat.beat >= record.beat ? known.heartbeat : undefined;
    const restarted = record.incarnation !== known.record.incarnation;
    this.setRecord(record, now, restarted ? undefined : heartbeat);
    return true;
  }

  /** Declares members gone whose heartbeats timed out; forgets gone members after the retention. */
  sweep(now: number): void {
    const { timeoutMs, retentionMs } = this.timeouts;
    this.members.forEach((known, name) => {
      const { record, heartbeat, changedAt } = known;
      const isGone = record.state === MemberState.gone;
      if (isGone && now - changedAt > retentionMs) this.members.delete(name);
      if (!isGone && heartbeat && now - heartbeat.at > timeoutMs * timeoutFactor(record)) {
        this.setRecord(
          { ...record, beat: heartbeat.beat, state: MemberState.gone },
          now,
          undefined,
        );
      }
    });
  }

  /** Declares a member gone that has been unreachable; processes that get its heartbeats can refute it. */
  declareGone(name: string, now: number): void {
    const known = this.members.get(name);
    if (!known || known.heartbeat || known.record.state === MemberState.gone) return;
    this.setRecord({ ...known.record, state: MemberState.gone }, now, undefined);
  }

  /** Excludes a pause of this process from the members' silence. */
  compensatePause(gapMs: number): void {
    this.members.forEach(({ heartbeat }) => {
      if (heartbeat) Object.assign(heartbeat, { at: heartbeat.at + gapMs });
    });
    this.dataCentreUpdatedAt.forEach((at, name) => this.dataCentreUpdatedAt.set(name, at + gapMs));
  }

  /** Records that an update from a data centre's own entries, direct or relayed, is `ageMs` old. */
  confirmDataCentre(dataCentre: string, ageMs: number, now: number): void {
    const at = now - Math.max(0, ageMs);
    if (at > (this.dataCentreUpdatedAt.get(dataCentre) ?? -Infinity))
      this.dataCentreUpdatedAt.set(dataCentre, at);
  }

  /** Age of the last update from each data centre, in milliseconds. */
  dataCentreAges(now: number): { dataCentre: string; ageMs: number }[] {
    this.dataCentreUpdatedAt.set(this.dataCentre, now);
    return [...this.dataCentreUpdatedAt].map(([dataCentre, at]) => ({
      dataCentre,
      ageMs: now - at,
    }));
  }

  /** Whether the last update from a data centre is recent enough to send work there. */
  isReachable(dataCentre: string, now: number): boolean {
    if (dataCentre === this.dataCentre) return true;
    const at = this.dataCentreUpdatedAt.get(dataCentre) ?? -Infinity;
    return now - at <= this.timeouts.dataCentreTimeoutMs;
  }

  /** The status of a member now. */
  status(name: string, now: number): MemberStatus {
    const known = this.members.get(name);
    if (!known) return MemberStatus.gone;
    const { record, heartbeat } = known;
    if (record.state !== MemberState.alive) return record.state;
    if (heartbeat) {
      const maxSilenceMs = this.timeouts.suspectMs * timeoutFactor(record);
      return now - heartbeat.at > maxSilenceMs ? MemberStatus.suspect : MemberStatus.alive;
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

  /** The records that changed after a cursor; 0 returns all. */
  changesAfter(cursor: number): MembershipChanges {
    const records: MemberRecord[] = [];
    if (cursor < this.changeCount) {
      this.members.forEach(({ record, changed }) => {
        if (changed > cursor) records.push(record);
      });
    }
    return { records, cursor: this.changeCount };
  }

  private setRecord(record: MemberRecord, now: number, heartbeat: KnownMember['heartbeat']): void {
    const previous = this.members.get(record.name);
    this.changeCount += 1;
    const known = { record, changed: this.changeCount, changedAt: now, heartbeat };
    this.members.set(record.name, known);
    this.digestSum = this.digestSum - (previous ? recordDigest(previous) : 0) + recordDigest(known);
  }
}
