import type { Clock, Random } from '@laburnumstream/common';
import { MemberState, Membership, SlowStart, MemberStatus } from '@laburnumstream/decisions';
import type { Candidate, MemberRecord, UnfitVersion } from '@laburnumstream/decisions';
import { toRecord } from '@laburnumstream/links';
import type { EndpointLoad, Member } from '@laburnumstream/protocol';

/** What this entry adds to an agent's record: the load last reported. */
interface Work {
  incarnation: number;
  inFlight: number;
  queued: number;
  limit: number;
}

/** An agent that is not gone, with its load as last reported. */
export interface LiveMember {
  readonly name: string;
  readonly dataCentre: string;
  readonly service: string;
  readonly leaving: boolean;
  readonly serving: readonly string[];
  readonly unfit?: UnfitVersion;
  readonly load: { readonly inFlight: number; readonly limit: number; readonly queued: number };
}

/** Times that the directory judges by, in milliseconds. */
export interface DirectoryTimes {
  readonly memberTimeoutMs: number;
  readonly dataCentreTimeoutMs: number;
  readonly returnRampMs: number;
}

const firstLimit = 1;
const retentionMs = 600_000;
/** Share of the timeout after which a silent agent gets no new work. */
const suspectShare = 0.75;

/** What this entry knows of the members, from heartbeats, other entries and loads on replies. */
export class Directory {
  readonly members: Membership;

  private readonly work = new Map<string, Work>();

  /** Agents that could not be reached from here, with the incarnation that failed. */
  private readonly unreachable = new Map<string, number>();

  private readonly ramp: SlowStart;

  private byService = new Map<string, MemberRecord[]>();

  private indexed = -1;

  constructor(
    private readonly clock: Clock,
    dataCentre: string,
    times: DirectoryTimes,
    private readonly random: Random,
  ) {
    const { memberTimeoutMs: timeoutMs, dataCentreTimeoutMs, returnRampMs } = times;
    const suspectMs = timeoutMs * suspectShare;
    const bounds = { suspectMs, timeoutMs, dataCentreTimeoutMs, retentionMs };
    this.members = new Membership(dataCentre, bounds);
    this.ramp = new SlowStart(returnRampMs);
  }

  /** Takes a heartbeat; returns the newest incarnation known of the member. */
  beat(member: Member): number {
    const record = toRecord(member);
    const known = this.members.recordHeartbeat(record, this.clock.now());
    if (known === record.incarnation) this.note(record, member.load);
    return known;
  }

  /** Takes a record from another entry. */
  learn(member: Member): void {
    const record = toRecord(member);
    if (this.members.mergeRecord(record, this.clock.now())) this.note(record, undefined);
  }

  /** Takes the load that came with a reply. */
  observe({ instance, inFlight, limit, queued }: EndpointLoad): void {
    const work = this.work.get(instance);
    if (work) Object.assign(work, { inFlight, limit, queued });
  }

  /** Whether an agent's endpoint serves the weights with this digest. */
  serves(name: string, digest: string): boolean {
    return this.members.get(name)?.serving.includes(digest) ?? false;
  }

  addressOf(name: string): string | undefined {
    return this.members.get(name)?.address;
  }

  /** An agent could not be reached: leave it out until a probe reaches it or it starts anew. */
  suspect(name: string): void {
    this.unreachable.set(name, this.members.get(name)?.incarnation ?? 0);
  }

  /** Agents that are left out because they could not be reached from here. */
  get suspects(): readonly string[] {
    return [...this.unreachable.keys()];
  }

  /** A probe reached the agent, or there is no use in trying on. */
  clear(name: string): void {
    this.unreachable.delete(name);
  }

  /** Notes which data centres are in, so that returned ones start with little work. */
  refresh(isIn: (dataCentre: string) => boolean): void {
    const now = this.clock.now();
    const centres = new Set(this.members.presentRecords().map(({ dataCentre }) => dataCentre));
    centres.forEach((dataCentre) => {
      if (this.ramp.update(dataCentre, isIn(dataCentre), now)) this.turnCold(dataCentre);
    });
  }

  /** Whether a returned data centre gets only a part of its work, so that candidates vary. */
  get isRamping(): boolean {
    const now = this.clock.now();
    return this.members.presentRecords().some(({ dataCentre }) => this.ramp.share(dataCentre, now) < 1);
  }

  /** The agents that may get new work of a service. */
  candidates(service: string, isOpen: (dataCentre: string) => boolean): Candidate[] {
    const now = this.clock.now();
    const open = this.agentsOf(service).filter(
      ({ name, dataCentre }) =>
        isOpen(dataCentre) &&
        !this.unreachable.has(name) &&
        this.members.status(name, now) === MemberStatus.alive,
    );
    const held = this.heldBack(open, now);
    const admitted = held.size > 0 ? open.filter((agent) => !held.has(agent.dataCentre)) : open;
    return (admitted.length > 0 ? admitted : open).map((agent) => this.candidateOf(agent));
  }

  /** All agents that are not gone. */
  get live(): readonly LiveMember[] {
    return this.members
      .presentRecords()
      .filter(({ role }) => role === 'agent')
      .map(({ name, dataCentre, service, state, serving, unfit }) => {
        const { inFlight, limit, queued } = this.workOf(name);
        const leaving = state === MemberState.leaving;
        const load = { inFlight, limit, queued };
        const suspect = unfit ? { unfit } : {};
        return { name, dataCentre, service, leaving, serving, load, ...suspect };
      });
  }

  private note(record: MemberRecord, load: Partial<EndpointLoad> | undefined): void {
    if (record.role !== 'agent') return;
    const { name, incarnation, state, limit } = record;
    if (state === MemberState.gone) this.unreachable.delete(name);
    const known = this.work.get(name);
    if (!known || known.incarnation < incarnation) {
      const inFlight = load?.inFlight ?? 0;
      this.work.set(name, { incarnation, inFlight, queued: 0, limit });
      const failed = this.unreachable.get(name);
      if (failed !== undefined && failed < incarnation) this.unreachable.delete(name);
    } else if (load) {
      const { inFlight = 0, queued = 0 } = load;
      Object.assign(known, { inFlight, queued, limit });
    }
  }

  private workOf(name: string): Work {
    const none = { incarnation: 0, inFlight: 0, queued: 0, limit: firstLimit };
    return this.work.get(name) ?? none;
  }

  private candidateOf({ name, dataCentre, region }: MemberRecord): Candidate {
    const { inFlight, queued, limit } = this.workOf(name);
    // Waiting requests count as one unit each, so that endpoints with a queue count as full.
    return { name, dataCentre, region, reported: inFlight + queued, limit };
  }

  /** The returned data centres that are passed over this time. */
  private heldBack(open: readonly MemberRecord[], now: number): ReadonlySet<string> {
    const held = new Set<string>();
    const seen = new Set<string>();
    open.forEach(({ dataCentre }) => {
      if (seen.has(dataCentre)) return;
      seen.add(dataCentre);
      const share = this.ramp.share(dataCentre, now);
      if (share < 1 && this.random.next() >= share) held.add(dataCentre);
    });
    return held;
  }

  private turnCold(dataCentre: string): void {
    this.members.presentRecords().forEach((record) => {
      const work = this.work.get(record.name);
      if (work && record.dataCentre === dataCentre) work.limit = firstLimit;
    });
  }

  private agentsOf(service: string): readonly MemberRecord[] {
    if (this.indexed !== this.members.revision) this.index();
    return this.byService.get(service) ?? [];
  }

  private index(): void {
    this.byService = new Map();
    this.members.presentRecords().forEach((record) => {
      if (record.role !== 'agent') return;
      const agents = this.byService.get(record.service) ?? [];
      agents.push(record);
      this.byService.set(record.service, agents);
    });
    this.indexed = this.members.revision;
  }
}
