import type { Clock, Random } from '@laburnumstream/common';
import { MemberState, Membership, SlowStart, MemberStatus } from '@laburnumstream/decisions';
import type { Candidate, MemberRecord, UnfitVersion } from '@laburnumstream/decisions';
import { toMemberRecord } from '@laburnumstream/links';
import type { EndpointLoad, Member } from '@laburnumstream/protocol';

/** The load last reported by an incarnation of an agent. */
interface ReportedLoad {
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

/** Timeouts of the failure detection and the ramp after a return, in milliseconds. */
export interface MemberDirectoryTimeouts {
  readonly memberTimeoutMs: number;
  readonly dataCentreTimeoutMs: number;
  readonly returnRampMs: number;
}

const initialLimit = 1;
const retentionMs = 600_000;
/** Fraction of the member timeout after which a silent agent gets no new work. */
const suspectRatio = 0.75;

/** The members known to this entry, from heartbeats, other entries and loads in responses. */
export class MemberDirectory {
  readonly members: Membership;

  private readonly loads = new Map<string, ReportedLoad>();

  /** Agents that this entry could not reach, with the incarnation that it tried. */
  private readonly unreachableIncarnations = new Map<string, number>();

  private readonly ramp: SlowStart;

  private agentsByService = new Map<string, MemberRecord[]>();

  /** Membership revision for which `agentsByService` was built. */
  private indexedRevision = -1;

  constructor(
    private readonly clock: Clock,
    dataCentre: string,
    timeouts: MemberDirectoryTimeouts,
    private readonly random: Random,
  ) {
    const { memberTimeoutMs: timeoutMs, dataCentreTimeoutMs, returnRampMs } = timeouts;
    const suspectMs = timeoutMs * suspectRatio;
    const bounds = { suspectMs, timeoutMs, dataCentreTimeoutMs, retentionMs };
    this.members = new Membership(dataCentre, bounds);
    this.ramp = new SlowStart(returnRampMs);
  }

  /** Records a member's heartbeat; returns the newest known incarnation of the member. */
  recordHeartbeat(member: Member): number {
    const record = toMemberRecord(member);
    const known = this.members.recordHeartbeat(record, this.clock.now());
    if (known === record.incarnation) this.recordLoad(record, member.load);
    return known;
  }

  /** Merges a record received from another entry. */
  mergeRecord(member: Member): void {
    const record = toMemberRecord(member);
    if (this.members.mergeRecord(record, this.clock.now())) this.recordLoad(record, undefined);
  }

  /** Updates an agent's load from a response. */
  updateLoad({ instance, inFlight, limit, queued }: EndpointLoad): void {
    const known = this.loads.get(instance);
    if (known) Object.assign(known, { inFlight, limit, queued });
  }

  /** Whether an agent's endpoint serves the weights with this digest. */
  serves(name: string, digest: string): boolean {
    return this.members.get(name)?.serving.includes(digest) ?? false;
  }

  getAddress(name: string): string | undefined {
    return this.members.get(name)?.address;
  }

  /** Excludes an agent that could not be reached, until a probe reaches it or it restarts. */
  markUnreachable(name: string): void {
    this.unreachableIncarnations.set(name, this.members.get(name)?.incarnation ?? 0);
  }

  /** Agents that are excluded because this entry could not reach them. */
  get unreachableAgents(): readonly string[] {
    return [...this.unreachableIncarnations.keys()];
  }

  /** Ends an agent's exclusion: a probe reached it or its address is no longer known. */
  clearUnreachable(name: string): void {
    this.unreachableIncarnations.delete(name);
  }

  /** Records which data centres are in service; one that returns ramps up from little work. */
  updateRamps(isIn: (dataCentre: string) => boolean): void {
    const now = this.clock.now();
    const dataCentres = new Set(this.members.presentRecords().map(({ dataCentre }) => dataCentre));
    dataCentres.forEach((dataCentre) => {
      if (this.ramp.update(dataCentre, isIn(dataCentre), now)) this.resetLimits(dataCentre);
    });
  }

  /** Whether a data centre is ramping up, so that `candidates` varies from call to call. */
  get isRamping(): boolean {
    const now = this.clock.now();
    return this.members
      .presentRecords()
      .some(({ dataCentre }) => this.ramp.share(dataCentre, now) < 1);
  }

  /** The agents of a service that may get new work. */
  candidates(service: string, isOpen: (dataCentre: string) => boolean): Candidate[] {
    const now = this.clock.now();
    const open = this.getAgents(service).filter(
      ({ name, dataCentre }) =>
        isOpen(dataCentre) &&
        !this.unreachableIncarnations.has(name) &&
        this.members.status(name, now) === MemberStatus.alive,
    );
    const withheld = this.selectWithheld(open, now);
    const admitted =
      withheld.size > 0 ? open.filter((agent) => !withheld.has(agent.dataCentre)) : open;
    return (admitted.length > 0 ? admitted : open).map((agent) => this.toCandidate(agent));
  }

  /** All agents that are not gone. */
  get liveMembers(): readonly LiveMember[] {
    return this.members
      .presentRecords()
      .filter(({ role }) => role === 'agent')
      .map(({ name, dataCentre, service, state, serving, unfit }) => {
        const { inFlight, limit, queued } = this.getLoad(name);
        const leaving = state === MemberState.leaving;
        const load = { inFlight, limit, queued };
        const report = unfit ? { unfit } : {};
        return { name, dataCentre, service, leaving, serving, load, ...report };
      });
  }

  private recordLoad(record: MemberRecord, load: Partial<EndpointLoad> | undefined): void {
    if (record.role !== 'agent') return;
    const { name, incarnation, state, limit } = record;
    if (state === MemberState.gone) this.unreachableIncarnations.delete(name);
    const known = this.loads.get(name);
    if (!known || known.incarnation < incarnation) {
      const inFlight = load?.inFlight ?? 0;
      this.loads.set(name, { incarnation, inFlight, queued: 0, limit });
      const unreached = this.unreachableIncarnations.get(name);
      if (unreached !== undefined && unreached < incarnation)
        this.unreachableIncarnations.delete(name);
    } else if (load) {
      const { inFlight = 0, queued = 0 } = load;
      Object.assign(known, { inFlight, queued, limit });
    }
  }

  private getLoad(name: string): ReportedLoad {
    const unknown = { incarnation: 0, inFlight: 0, queued: 0, limit: initialLimit };
    return this.loads.get(name) ?? unknown;
  }

  private toCandidate({ name, dataCentre, region }: MemberRecord): Candidate {
    const { inFlight, queued, limit } = this.getLoad(name);
    // Queued requests count as one work unit each, so that an endpoint with a queue counts as full.
    return { name, dataCentre, region, reported: inFlight + queued, limit };
  }

  /** Data centres to skip this time; a ramping one is admitted with probability of its share. */
  private selectWithheld(open: readonly MemberRecord[], now: number): ReadonlySet<string> {
    const withheld = new Set<string>();
    const seen = new Set<string>();
    open.forEach(({ dataCentre }) => {
      if (seen.has(dataCentre)) return;
      seen.add(dataCentre);
      const share = this.ramp.share(dataCentre, now);
      if (share < 1 && this.random.next() >= share) withheld.add(dataCentre);
    });
    return withheld;
  }

  /** Resets admission limits after a data centre's return, as its endpoints are cold. */
  private resetLimits(dataCentre: string): void {
    this.members.presentRecords().forEach((record) => {
      const load = this.loads.get(record.name);
      if (load && record.dataCentre === dataCentre) load.limit = initialLimit;
    });
  }

  private getAgents(service: string): readonly MemberRecord[] {
    if (this.indexedRevision !== this.members.revision) this.rebuildIndex();
    return this.agentsByService.get(service) ?? [];
  }

  private rebuildIndex(): void {
    this.agentsByService = new Map();
    this.members.presentRecords().forEach((record) => {
      if (record.role !== 'agent') return;
      const agents = this.agentsByService.get(record.service) ?? [];
      agents.push(record);
      this.agentsByService.set(record.service, agents);
    });
    this.indexedRevision = this.members.revision;
  }
}
