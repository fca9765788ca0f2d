import { setTimeout as sleep } from 'node:timers/promises';
import { InstanceRole, InstanceState } from '@laburnumstream/common';
import type { Instance, Metrics } from '@laburnumstream/common';
import {
  MemberState,
  Membership,
  chooseObservers,
  choosePartners,
  chooseRemotes,
  isBridge,
} from '@laburnumstream/decisions';
import type { MemberRecord, Peer } from '@laburnumstream/decisions';
import {
  LinkPool,
  Secrets,
  createClient,
  serveInternal,
  toMemberMessage,
  toMemberRecord,
} from '@laburnumstream/links';
import type { ConnectRouter } from '@laburnumstream/links';
import { EntryService } from '@laburnumstream/protocol';
import type { ExchangeRequest } from '@laburnumstream/protocol';
import { freePorts } from './ports.js';

const heartbeatMs = 1_000;
const exchangeIntervalMs = 2_000;
const observerCount = 2;
const partnerCount = 3;
const bridgeCount = 2;
const serverCount = 8;
const linkAgeMs = 600_000;
const membershipTimeouts = {
  suspectMs: 3_600_000,
  timeoutMs: 3_600_000,
  dataCentreTimeoutMs: 3_600_000,
  retentionMs: 3_600_000,
};
const noMetrics: Metrics = {
  count: () => undefined,
  gauge: () => undefined,
  observe: () => undefined,
  registerGauges: () => undefined,
};

/** Numbers of members that are simulated beside the real processes. */
export interface SimulatedSize {
  readonly entries: number;
  readonly agents: number;
}

function chooseTargets(entry: Peer, isLocal: boolean, entries: readonly Peer[]): Peer[] {
  if (isLocal) return choosePartners(entry, entries, partnerCount);
  if (!isBridge(entry, entries, bridgeCount)) return [];
  return chooseRemotes(entry, entries, () => 0);
}

/**
 * Simulates the rest of a large fleet in one process: responds as the other entries and sends what
 * other members would send to one real entry. The product's logic decides who contacts whom.
 */
export class SimulatedMembers {
  private readonly members = new Membership('', membershipTimeouts);

  private records: MemberRecord[] = [];

  private heartbeatCount = 0;

  /** Revision up to which the real entry is assumed to know all changes. */
  private knownRevision = 0;

  constructor(
    private readonly size: SimulatedSize,
    private readonly places: readonly { region: string; dataCentre: string }[],
    private readonly secret: string,
  ) {}

  /** Serves as the simulated entries until the signal is aborted. */
  async start(signal: AbortSignal): Promise<this> {
    const ports = await freePorts(serverCount);
    const secrets = new Secrets([this.secret]);
    for (const port of ports) {
      const endpoint = { host: '127.0.0.1', port, secrets };
      await serveInternal(endpoint, (router) => this.routes(router), noMetrics, signal);
    }
    const addresses = ports.map((port) => `http://127.0.0.1:${port}`);
    this.records = [
      ...this.make('entry', this.size.entries, addresses),
      ...this.make('agent', this.size.agents, addresses),
    ];
    this.records.forEach((record) => this.members.mergeRecord(record, 0));
    return this;
  }

  /** The simulated members as records of the platform's instance list. */
  get instances(): Instance[] {
    return this.records.map(({ name, role, region, dataCentre, address, service }) => ({
      name,
      role: role === 'entry' ? InstanceRole.entry : InstanceRole.agent,
      region,
      dataCentre,
      address,
      ...(service ? { service, weightsAddress: address } : {}),
      state: InstanceState.live,
    }));
  }

  /** Sends what other members would send to this entry; restarts a member every `restartPauseMs`. */
  async sendTo(real: Peer, restartPauseMs: number, signal: AbortSignal): Promise<void> {
    const links = new LinkPool(new Secrets([this.secret]), linkAgeMs, () => 0, signal);
    const client = createClient(EntryService, links.transportTo(real.address));
    const entries: Peer[] = [...this.records.filter(({ role }) => role === 'entry'), real];
    const agents = this.records.filter(({ role }) => role === 'agent');
    const heartbeatSenders = agents.filter((agent) =>
      chooseObservers(agent, entries, observerCount).some(({ name }) => name === real.name),
    );
    const exchangeSenders = entries.filter((entry) => this.exchangesWith(entry, real, entries));
    const sendHeartbeat = (record: MemberRecord) => {
      this.heartbeatCount += 1;
      const member = toMemberMessage({ ...record, beat: this.heartbeatCount });
      return client.beat({ member, configurationRevision: 1n }, { signal });
    };
    const sendExchange = (entry: Peer) => {
      const record = this.records.find(({ name }) => name === entry.name)!;
      this.heartbeatCount += 1;
      const self = toMemberMessage({ ...record, beat: this.heartbeatCount });
      const { digest } = this.members;
      return client.exchange({ self, members: [], digest, ages: this.ages() }, { signal });
    };
    const senders = [
      ...heartbeatSenders.map((record) => ({
        pauseMs: heartbeatMs,
        send: () => sendHeartbeat(record),
      })),
      ...exchangeSenders.map((entry) => ({
        pauseMs: exchangeIntervalMs,
        send: () => sendExchange(entry),
      })),
    ];
    void this.restartMembers(restartPauseMs, signal);
    await Promise.all(
      senders.map(async ({ pauseMs, send }, index) => {
        await sleep((index / senders.length) * pauseMs);
        while (!signal.aborted) {
          void send().catch(() => undefined);
          await sleep(pauseMs);
        }
      }),
    );
  }

  private exchangesWith(entry: Peer, real: Peer, entries: readonly Peer[]): boolean {
    if (entry.name === real.name) return false;
    const targets = chooseTargets(entry, entry.dataCentre === real.dataCentre, entries);
    return targets.some(({ name }) => name === real.name);
  }

  private routes(router: ConnectRouter): void {
    router.service(EntryService, {
      beat: ({ member }) => ({
        configurationRevision: 1n,
        knownIncarnation: member?.incarnation ?? 0n,
      }),
      sync: () => ({ configurationRevision: 1n, document: '' }),
      shareVerdicts: () => ({ verdicts: [] }),
      exchange: (request) => this.handleExchange(request),
    });
  }

  private handleExchange(request: ExchangeRequest) {
    request.members.forEach((member) => this.members.mergeRecord(toMemberRecord(member), 0));
    if (request.self) this.members.mergeRecord(toMemberRecord(request.self), 0);
    const { records } = this.members.changesAfter(request.all ? 0 : this.knownRevision);
    const members = records.map(toMemberMessage);
    return { members, digest: this.members.digest, ages: this.ages(), knownIncarnation: 0n };
  }

  private async restartMembers(pauseMs: number, signal: AbortSignal): Promise<void> {
    for (let index = 0; !signal.aborted; index += 1) {
      await sleep(pauseMs);
      this.knownRevision = this.members.revision;
      const { name } = this.records[index % this.records.length]!;
      const record = this.members.get(name)!;
      this.members.mergeRecord({ ...record, incarnation: record.incarnation + 1, beat: 1 }, 0);
    }
  }

  private ages(): { dataCentre: string; ageMs: number }[] {
    return this.places.map(({ dataCentre }) => ({ dataCentre, ageMs: 0 }));
  }

  private make(role: 'entry' | 'agent', count: number, addresses: readonly string[]) {
    return Array.from({ length: count }, (_, index): MemberRecord => {
      const place = this.places[index % this.places.length]!;
      return {
        name: `${role}-${place.dataCentre}-${index}`,
        role,
        incarnation: 1,
        beat: 1,
        state: MemberState.alive,
        ...place,
        service: role === 'agent' ? 'simulated' : '',
        address: addresses[index % addresses.length]!,
        serving: role === 'agent' ? ['0'.repeat(64)] : [],
        limit: role === 'agent' ? 8 : 0,
      };
    });
  }
}
