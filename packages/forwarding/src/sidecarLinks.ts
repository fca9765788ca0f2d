import type { Clock, FleetSettings, Log, Metrics, Random } from '@laburnumstream/common';
import { NewsTellers, reportIntervalMs } from '@laburnumstream/decisions';
import { FleetDatagrams } from '@laburnumstream/links';
import type { DatagramContent, DatagramHandlers } from '@laburnumstream/links';
import type { EndpointReport } from '@laburnumstream/protocol';
import type { EndpointDirectory } from './endpointDirectory.js';
import type { EndpointHandle } from './endpointHandle.js';
import type { FleetState } from './fleetState.js';
import { LoadBroadcast } from './loadSharing.js';

/** Time between two datagrams to each agent, in milliseconds. */
const updateIntervalMs = 1_000;
/** Entries of a region that tell an agent of weights each second, in its own region and in others. */
const sendersPerAgent = { near: 4, far: 1 } as const;
/** Time in which further changes are told with the first one, in milliseconds. */
const changeBatchMs = 15;
/** Time in which streams end by themselves at an engine that is about to load, in milliseconds. */
const moveGraceMs = 250;
const permille = 1_000;
const kilobit = 1_000;

type WeightUpdate = NonNullable<Extract<DatagramContent, { case: 'fleet' }>['value']['weights']>;

/** Tells the agents beside engines what they need to know, and takes their reports. */
export class AgentLinks {
  private readonly datagrams: FleetDatagrams;

  private readonly loadBroadcast: LoadBroadcast;

  private readonly senders: NewsTellers;

  /** Changes of the registered entries that the tellers are drawn from. */
  private sendersRevision = -1;

  private timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly settings: FleetSettings,
    private readonly state: FleetState,
    private readonly directory: EndpointDirectory,
    private readonly clock: Clock,
    private readonly random: Random,
    metrics: Metrics,
    private readonly log: Log,
    /** A report may have made room at an endpoint. */
    private readonly onReport: (endpoint: EndpointHandle) => void,
  ) {
    const handlers: DatagramHandlers = {
      report: (report) => this.handleReport(report),
      load: (load, { sender }) => this.loadBroadcast.receive(load, sender),
    };
    this.datagrams = new FleetDatagrams(settings.instance, handlers, clock, metrics, log);
    this.senders = new NewsTellers(settings.instance);
    this.loadBroadcast = new LoadBroadcast(settings, state, directory, this.datagrams, clock);
  }

  async run(signal: AbortSignal): Promise<void> {
    await this.datagrams.bind(this.settings.host, this.settings.firstPort, signal);
    while (!signal.aborted) {
      this.sendUpdates(false);
      this.loadBroadcast.send();
      await this.clock.sleep(updateIntervalMs, signal).catch(() => undefined);
    }
  }

  /** Tells all agents soon, after a change that they have to know. */
  scheduleUpdate(): void {
    this.timer ??= setTimeout(() => {
      this.timer = undefined;
      this.sendUpdates(true);
    }, changeBatchMs);
  }

  /** This entry's load at an endpoint has changed. */
  handleLoadChange(): void {
    this.loadBroadcast.schedule();
  }

  private sendUpdates(isChange: boolean): void {
    const news = new Map<string, WeightUpdate | undefined>();
    this.refreshSenders();
    [...this.directory.all].forEach((handle) => {
      if (!handle.model) return;
      const { service, address } = handle.endpoint;
      if (!news.has(service)) news.set(service, this.createWeightUpdate(handle));
      const known = news.get(service);
      const tells = known && this.shouldSendWeights(handle, known.namedMsAgo ?? 0, isChange);
      const weights = tells ? known : undefined;
      const reportEveryMs = this.getReportIntervalMs(handle);
      const value = weights ? { reportEveryMs, weights } : { reportEveryMs };
      this.datagrams.send({ case: 'fleet', value }, address.split(':')[0]!);
    });
  }

  /**
   * Whether this entry tells an agent of weights: of a change all entries of the agent's region do, at
   * other times a few. Agents of other regions hear of a new version from one entry of each region: those
   * of their own may be cut off from the store.
   */
  private shouldSendWeights(
    { isNear, endpoint }: EndpointHandle,
    namedMsAgo: number,
    isChange: boolean,
  ): boolean {
    const { instance, bounds } = this.settings;
    if (!isNear) {
      return (
        namedMsAgo <= bounds.versionMs &&
        this.senders.isAmong(endpoint.address, sendersPerAgent.far)
      );
    }
    if (isChange || !this.state.entryLocations.has(instance)) return true;
    return this.senders.isAmong(endpoint.address, sendersPerAgent.near);
  }

  /** Takes the entries of this region as tellers when they have changed. */
  private refreshSenders(): void {
    const { entriesRevision, entryLocations: places } = this.state;
    if (entriesRevision === this.sendersRevision) return;
    this.sendersRevision = entriesRevision;
    const { region, regions } = this.settings;
    const near = [...places].filter(([, { dataCentre }]) => regions.get(dataCentre) === region);
    this.senders.take(near.map(([name]) => name));
  }

  private getReportIntervalMs({ isNear, region }: EndpointHandle): number {
    const { near, far } = this.directory.getCapacitySharers(region);
    return reportIntervalMs({ entries: isNear ? near : far, isNear });
  }

  private createWeightUpdate({ endpoint, profile }: EndpointHandle): WeightUpdate | undefined {
    const engine = profile?.engine;
    const [model] = engine?.models ?? [];
    if (!engine || !model) return undefined;
    const services = this.state.routes?.configuration.services;
    const origin = [...(services?.values() ?? [])].find((service) => service.origin)?.origin;
    const named = this.state.namedVersions(model.name);
    const version = named?.newest ?? 1;
    const now = this.clock.now();
    return {
      model: model.name,
      version,
      namedMsAgo: Math.round(now - (named?.namedAt(version) ?? 0)),
      origin: origin?.address ?? '',
      originDataCentre: origin?.dataCentre ?? '',
      originKbitPerS: Math.round((origin?.linkBitsPerSecond ?? 0) / kilobit),
      layers: engine.layers,
      chunks: engine.chunks,
      chunkBytes: engine.chunkBytes,
      loadMs: Math.round(model.loadMs),
      members: this.directory.forService(endpoint.service).map((handle) => ({
        host: handle.endpoint.address.split(':')[0]!,
        dataCentre: handle.endpoint.dataCentre,
        version: handle.version ?? 0,
      })),
    };
  }

  private handleReport(report: EndpointReport): void {
    const handle = this.directory.findByAddress(report.address);
    if (
      !handle ||
      (handle.endpoint.bornAt !== 0 && handle.endpoint.bornAt !== Number(report.bornAt))
    )
      return;
    const now = this.clock.now();
    const { running, waiting, pacePermille, version, isSwitching, isAnswering } = report;
    const sharers = this.directory.getCapacitySharers(handle.region);
    const load = { running, waiting, pace: pacePermille / permille };
    handle.applyLoadReport(load, sharers, this.random, now);
    if (handle.reportedVersion !== version || handle.isSwitching !== isSwitching) {
      this.log.info('Engine changed.', { endpoint: handle.id, version, isSwitching, isAnswering });
    }
    const switchAt = report.switchInMs === undefined ? undefined : now + report.switchInMs;
    // The engine ends what it runs before it loads other weights.
    if (isSwitching && !handle.isSwitching) handle.moveStreams(moveGraceMs);
    Object.assign(handle, { reportedVersion: version, isSwitching, isAnswering, switchAt });
    this.onReport(handle);
  }
}
