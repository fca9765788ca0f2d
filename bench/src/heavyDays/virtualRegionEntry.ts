import type { Clock, ForwarderSettings, Random } from '@laburnumstream/common';
import { RequestStage } from '@laburnumstream/decisions';
import {
  DemandControl,
  DispatchQueue,
  EndpointDirectory,
  EntryCounts,
  EntryPeers,
  FleetState,
} from '@laburnumstream/forwarding';
import type { DemandExchange, EndpointHandle } from '@laburnumstream/forwarding';
import type { DatagramContent } from '@laburnumstream/links';
import { competingProfile } from './competingClasses.js';
import type { CompetingClass } from './competingClasses.js';
import { noMetrics, silentLog } from './silentObservers.js';
import { virtualBounds } from './virtualBounds.js';

/** A request of one class. */
export interface ClassRequest {
  readonly id: string;
  readonly kind: CompetingClass;
  readonly workspace: string;
  /** Monotonic time, in milliseconds. */
  readonly arrivesAt: number;
  readonly promptTokens: number;
  readonly events: number;
}

/** Place of one entry or engine. */
export interface VirtualPlace {
  readonly name: string;
  readonly host: string;
  readonly region: string;
}

/** What an entry of a simulated fleet is made with. */
export interface RegionEntryOptions {
  readonly self: VirtualPlace;
  readonly entries: readonly VirtualPlace[];
  readonly engines: readonly VirtualPlace[];
  readonly isAdaptive: boolean;
  readonly clock: Clock;
  readonly random: Random;
  /** Sends a datagram to other entries. */
  readonly send: (content: DatagramContent, hosts: readonly string[]) => void;
}

/** The service of all engines. */
export const modelService = 'model';
const deadlineMs = 6_030;

function createSettings(
  { name, host, region }: VirtualPlace,
  regions: ReadonlyMap<string, string>,
): ForwarderSettings {
  return {
    instance: name,
    host,
    dataCentre: region,
    region,
    regions,
    firstPort: 9_000,
    linkBitsPerSecond: 1e9,
    store: { address: '10.255.0.1:1', minLeaseMs: 1_000 },
    heartbeatMs: 1_200,
    callerAddress: `${host}:1`,
    readinessAddress: `${host}:2`,
    memoryBytes: 350_000_000,
    isFirstStart: true,
    bounds: { ...virtualBounds, retrySlack: 220 },
  };
}

/** An entry of a simulated fleet: the product's directory, queue and demand control in virtual time. */
export class VirtualRegionEntry {
  readonly settings: ForwarderSettings;

  readonly state: FleetState;

  readonly directory: EndpointDirectory;

  readonly queue: DispatchQueue;

  readonly demand: DemandControl;

  readonly exchange: DemandExchange;

  readonly handles: readonly EndpointHandle[];

  /** Loads of the other entries of the region are kept by engine, as the broadcast does. */
  readonly regionRequests = new Map<EndpointHandle, number>();

  constructor(private readonly options: RegionEntryOptions) {
    const { self, entries, engines, isAdaptive, clock, random, send } = options;
    const regions = new Map([...entries, ...engines].map(({ region }) => [region, region]));
    const settings = createSettings(self, regions);
    this.settings = settings;
    this.state = new FleetState(noMetrics, silentLog, () => undefined);
    entries.forEach(({ name, host, region }) =>
      this.state.setEntry(name, { host, dataCentre: region }),
    );
    engines.forEach((engine) => this.registerEngine(engine));
    const counts = new EntryCounts(this.state, settings, clock);
    this.directory = new EndpointDirectory(
      settings,
      this.state,
      clock,
      noMetrics,
      random,
      counts,
      clock,
    );
    this.directory.refresh();
    this.handles = engines.map(({ name }) => this.directory.get(name)!);
    this.handles.forEach((handle) => {
      handle.updateProfile(competingProfile);
      Object.assign(handle, { reportedVersion: 1 });
    });
    const adaptive = { has: () => isAdaptive };
    this.demand = new DemandControl(
      settings,
      this.state,
      this.directory,
      adaptive,
      clock,
      silentLog,
    );
    const peers = new EntryPeers(settings, this.state);
    this.exchange = this.demand.createExchange(peers, { sendAll: send }, noMetrics);
    const { admission } = this.demand;
    const policies = { isAdaptive: adaptive.has, demand: admission, reserve: admission };
    this.queue = new DispatchQueue(this.directory, clock, random, noMetrics, silentLog, policies);
  }

  /** Resolves with the engine that a request is sent to; rejects with a refusal. */
  async place(request: ClassRequest, isCallerRetry: boolean): Promise<EndpointHandle> {
    const { id, kind, workspace, arrivesAt, promptTokens, events } = request;
    const model = this.handles[0]!.model!;
    const goalAt = arrivesAt + kind.goalMs;
    const answerTokens = events * competingProfile.engine!.stepsPerPass;
    const placement = await this.queue.place(
      {
        id,
        service: modelService,
        workspace,
        priority: kind.priority,
        stage: isCallerRetry ? RequestStage.callerRetry : RequestStage.fresh,
        configurationVersion: 1,
        configurationAgeMs: 0,
        isRetryable: true,
        arrivedAt: this.options.clock.now(),
        startBy: model.latestStart(goalAt, promptTokens),
        demand: { promptTokens, answerTokens },
        fairnessGroups: [`p${kind.priority}`, model.sizeClass(promptTokens, answerTokens)],
        eligibility: { homeRegions: [], tried: new Set() },
        goalAt,
        deadlineAt: arrivesAt + deadlineMs,
      },
      AbortSignal.any([]),
    );
    placement.target.load.recordStart(model.prefillMs(promptTokens));
    return placement.target;
  }

  private registerEngine({ name, host, region }: VirtualPlace): void {
    const { slots, layers } = competingProfile.engine!;
    this.state.setEndpoint(
      {
        id: name,
        startedAt: 1,
        service: modelService,
        address: `${host}:80`,
        dataCentre: region,
        slots,
        isDraining: false,
        coldRemainingMs: 0,
        layers: { from: 0, to: layers, version: 1 },
      },
      0,
    );
  }
}
