import { EndpointRunner, createRunHandler } from '@laburnumstream/agent';
import type { Permit } from '@laburnumstream/agent';
import { Overloaded, SeededRandom, optionDefaults, toFailure } from '@laburnumstream/common';
import type { Log, Metrics } from '@laburnumstream/common';
import { emptyConfiguration } from '@laburnumstream/decisions';
import {
  AttemptRunner,
  CrashGuard,
  MemberDirectory,
  RequestDispatcher,
  Router,
} from '@laburnumstream/entry';
import type { CallerRequest } from '@laburnumstream/entry';
import { create } from '@laburnumstream/links';
import type { LinkPool } from '@laburnumstream/links';
import { MemberSchema } from '@laburnumstream/protocol';
import type { AgentSettings, EntrySettings } from '@laburnumstream/runtime';
import { RequestKind } from './history.js';
import type { HistoryEvent, RequestHistory } from './history.js';
import { Host } from './host.js';
import { MemoryNetwork } from './memoryNetwork.js';
import type { NetworkAgent } from './memoryNetwork.js';
import { MemoryStore } from './memoryStore.js';
import { MemoryStoreClient } from './memoryStoreClient.js';
import { HistoryService } from './historyService.js';
import { VirtualClock } from './virtualClock.js';

const service = 'desk';
const dataCentre = 'north-a';
const heartbeatMs = 300;
const refusalShare = 0.08;
const retryAfterMs = 100;
const callerTimeoutMs = 6_000;

/** Faults that are planted to prove that the checkers detect them. */
export const PlantedFault = {
  storeOverwrites: 'storeOverwrites',
  endpointLies: 'endpointLies',
  answersCross: 'answersCross',
} as const;

/** One of the values of {@link PlantedFault}. */
export type PlantedFault = (typeof PlantedFault)[keyof typeof PlantedFault];

const silentLog: Log = {
  debug: () => undefined,
  info: () => undefined,
  warn: () => undefined,
  error: () => undefined,
};

const noMetrics: Metrics = {
  count: () => undefined,
  gauge: () => undefined,
  observe: () => undefined,
  registerGauges: () => undefined,
};

interface WorldEntry {
  readonly host: Host;
  readonly dispatcher: RequestDispatcher;
}

/** Entries and agents running the real request code on an in-memory network, store and clock. */
export class World {
  readonly clock = new VirtualClock();

  readonly store: MemoryStore;

  readonly network: MemoryNetwork;

  readonly entries: WorldEntry[] = [];

  readonly agents = new Map<string, NetworkAgent>();

  private readonly random: SeededRandom;

  private readonly histories = new Map<string, { kind: RequestKind; events: HistoryEvent[] }>();

  private copies = 0;

  constructor(
    seed: number,
    private readonly plantedFault?: PlantedFault,
    /** Disables random admission refusals and lost endpoint responses. */
    private readonly onlyPlannedFaults = false,
  ) {
    this.random = new SeededRandom(seed);
    this.store = new MemoryStore(
      this.clock,
      this.random,
      plantedFault === PlantedFault.storeOverwrites,
    );
    this.network = new MemoryNetwork(this.clock, this.random, this.agents);
    ['a', 'b', 'c'].forEach((name) => this.addAgent(`agent-${name}`));
    ['a', 'b'].forEach((name) => this.addEntry(`entry-${name}`));
  }

  /** The history of each request. */
  get results(): RequestHistory[] {
    return [...this.histories].map(([request, { kind, events }]) => ({ request, kind, events }));
  }

  /** Sends one copy of a request and waits for its outcome. Returns whether it was answered. */
  async submit(kind: RequestKind, request: string, entryIndex: number): Promise<boolean> {
    const entry = this.entries[entryIndex % this.entries.length]!;
    this.copies += 1;
    const copy = `copy-${this.copies}`;
    this.record(request, kind, { kind: 'invoke', request, copy, at: this.clock.now() });
    const abort = new AbortController();
    this.clock.at(callerTimeoutMs, () => abort.abort());
    try {
      // When the entry is gone, the caller times out with an unknown outcome.
      const body = await Promise.race([
        this.dispatch(entry, this.makeRequest(kind, request, copy), abort.signal),
        this.rejectAfterTimeout(entry.host),
      ]);
      this.record(request, kind, { kind: 'reply', request, copy, body, at: this.clock.now() });
      return true;
    } catch (error) {
      const { type, execution } = toFailure(error);
      const at = this.clock.now();
      this.record(request, kind, { kind: 'refuse', request, copy, type, execution, at });
      return false;
    }
  }

  private async rejectAfterTimeout(host: Host): Promise<never> {
    await this.clock.sleep(callerTimeoutMs + heartbeatMs);
    throw toFailure(new TypeError(`${host.name} does not respond.`));
  }

  private async dispatch(
    { dispatcher }: WorldEntry,
    request: CallerRequest,
    signal: AbortSignal,
  ): Promise<string> {
    let body = '';
    for await (const part of dispatcher.dispatch(request, signal)) {
      if (part.kind === 'answer') body = part.body;
    }
    return body;
  }

  private makeRequest(kind: RequestKind, request: string, copy: string): CallerRequest {
    return {
      id: copy,
      workspace: 'store',
      service,
      nonIdempotent: kind !== RequestKind.idempotent,
      idempotencyKey: kind === RequestKind.keyed ? request : '',
      fingerprint: request,
      affinity: '',
      work: { case: 'call', value: { method: 'POST', path: '/orders', body: request } },
    };
  }

  private record(request: string, kind: RequestKind, event: HistoryEvent): void {
    const history = this.histories.get(request) ?? { kind, events: [] };
    this.histories.set(request, history);
    history.events.push(event);
  }

  private addAgent(name: string): void {
    const host = new Host(name, this.clock);
    const onRun = (request: string): void => {
      const kind = this.histories.get(request)?.kind ?? RequestKind.idempotent;
      this.record(request, kind, { kind: 'run', request, at: this.clock.now() });
    };
    const plainService = new HistoryService(this.clock, host, this.random, onRun, {
      losesResponses: !this.onlyPlannedFaults,
      reportsFalseNotRun: this.plantedFault === PlantedFault.endpointLies,
      returnsPreviousResponse: this.plantedFault === PlantedFault.answersCross,
    });
    const settings = { instance: name, service, dataCentre, options: optionDefaults };
    const handler = createRunHandler({
      settings: settings as AgentSettings,
      configuration: () => emptyConfiguration,
      gate: { limit: 8, inFlight: 0, queued: 0, acquire: () => this.admit() },
      endpoint: new EndpointRunner({ plain: plainService }, () => ''),
      isSettled: () => true,
      store: new MemoryStoreClient(this.store, host),
      clock: host,
      metrics: noMetrics,
      log: silentLog,
      signal: new AbortController().signal,
    });
    this.agents.set(name, { host, handler });
  }

  private async admit(): Promise<Permit> {
    if (!this.onlyPlannedFaults && this.random.next() < refusalShare)
      throw new Overloaded('Full.', retryAfterMs);
    return { priority: 0, release: () => undefined };
  }

  private addEntry(name: string): void {
    const host = new Host(name, this.clock);
    const directory = new MemberDirectory(host, dataCentre, optionDefaults, this.random);
    // Without peers, no link is ever used.
    const links = {} as LinkPool;
    const settings = { instance: name, dataCentre, options: optionDefaults };
    const keepMs = optionDefaults.convictionMs;
    const listNoPeers = () => [];
    const guard = new CrashGuard(
      links,
      listNoPeers,
      host,
      this.random,
      keepMs,
      noMetrics,
      silentLog,
    );
    const transport = this.network.from(host);
    const entrySettings = settings as unknown as EntrySettings;
    const getConfiguration = () => emptyConfiguration;
    const router = new Router(entrySettings, getConfiguration, directory, host, this.random);
    const dispatcher = new RequestDispatcher(
      entrySettings,
      getConfiguration,
      directory,
      new AttemptRunner(transport, host, optionDefaults.silenceMs, () => undefined),
      guard,
      router,
      () => host.wall(),
      noMetrics,
      silentLog,
    );
    this.entries.push({ host, dispatcher });
    this.sendHeartbeats(directory);
  }

  private sendHeartbeats(directory: MemberDirectory): void {
    this.agents.forEach(({ host }, name) => {
      const place = { region: 'north', dataCentre, service, address: name };
      if (!host.isAlive) return;
      directory.recordHeartbeat(create(MemberSchema, { name, incarnation: 1n, ...place }));
      directory.clearUnreachable(name);
    });
    this.clock.at(heartbeatMs, () => this.sendHeartbeats(directory));
  }
}
