import type { Clock, FleetSettings, Log, Metrics, Random } from '@laburnumstream/common';
import { NotifierSelection, reportIntervalMs } from '@laburnumstream/decisions';
import { FleetDatagrams } from '@laburnumstream/links';
import type { DatagramContent, DatagramHandlers } from '@laburnumstream/links';
import type { EndpointReport } from '@laburnumstream/protocol';
import { CrashExchange } from './crashExchange.js';
import type { CrashGuard } from './crashGuard.js';
import type { EndpointDirectory } from './endpointDirectory.js';
import type { EndpointHandle } from './endpointHandle.js';
import { EntryPeers } from './entryPeers.js';
import type { FleetState } from './fleetState.js';
import { LimitExchange } from './limitExchange.js';
import { LoadBroadcast } from './loadBroadcast.js';

/** Interval between two updates to each agent, in milliseconds. */
const updateIntervalMs = 1_000;
/** Entries of a region that send weight updates to an agent, in the agent's region and in each other one. */
const notifiersPerAgent = { local: 4, remote: 1 } as const;
/** Time in which changes are batched into one update, in milliseconds. */
const changeBatchMs = 15;
/** Time that streams get to end at an engine that is about to load other weights, in milliseconds. */
const moveGraceMs = 250;
const permille = 1_000;
const kilobit = 1_000;

type WeightUpdate = NonNullable<Extract<DatagramContent, { case: 'fleet' }>['value']['weights']>;

/** Sends updates to the agents of engines and receives their reports. */
export class AgentLinks {
  private readonly datagrams: FleetDatagrams;

  private readonly peers: EntryPeers;

  private readonly loadBroadcast: LoadBroadcast;

  private readonly crashExchange: CrashExchange;

  private readonly limitExchange: LimitExchange;

  private readonly notifiers: NotifierSelection;

  /** Revision of the registered entries from which `notifiers` was built. */
  private notifiersRevision = -1;

  private timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly settings: FleetSettings,
    private readonly state: FleetState,
    private readonly directory: EndpointDirectory,
    private readonly guard: CrashGuard,
    private readonly clock: Clock,
    private readonly random: Random,
    metrics: Metrics,
    private readonly log: Log,
    /** Called after each report, which may have freed capacity at the endpoint. */
    private readonly onReport: (endpoint: EndpointHandle) => void,
  ) {
    const handlers: DatagramHandlers = {
      report: (report) => this.handleReport(report),
      load: (load, { sender }) => this.loadBroadcast.receive(load, sender),
      limits: (limits, { sender }) =>
        this.limitExchange.receive(limits, sender).forEach((handle) => this.onReport(handle)),
      crashes: (news, { host }) => this.crashExchange.receive(news, host),
    };
    this.datagrams = new FleetDatagrams(settings.instance, handlers, clock, metrics, log);
    this.notifiers = new NotifierSelection(settings.instance);
    this.peers = new EntryPeers(settings, state);
    this.loadBroadcast = new LoadBroadcast(this.peers, directory, this.datagrams, clock);
    this.limitExchange = new LimitExchange(this.peers, directory, this.datagrams, clock, log);
    this.crashExchange = new CrashExchange(this.peers, guard, this.datagrams);
  }

  async run(signal: AbortSignal): Promise<void> {
    await this.datagrams.bind(this.settings.host, this.settings.firstPort, signal);
    while (!signal.aborted) {
      this.sendUpdates(false);
      this.loadBroadcast.send();
      this.crashExchange.repeatConvictions();
      this.limitExchange.repeat();
      await this.clock.sleep(updateIntervalMs, signal).catch(() => undefined);
    }
  }

  /** Schedules an update to all agents after a change of the fleet. */
  scheduleUpdate(): void {
    this.timer ??= setTimeout(() => {
      this.timer = undefined;
      this.sendUpdates(true);
    }, changeBatchMs);
  }

  /** Schedules a broadcast after this entry's load at an endpoint has changed. */
  handleLoadChange(): void {
    this.loadBroadcast.schedule();
  }

  /** Records that a response of an endpoint named a limit on its requests, or none. */
  recordNamedLimit(handle: EndpointHandle, perSecond: number | undefined): void {
    this.limitExchange.recordResponse(handle, perSecond);
  }

  private sendUpdates(isChange: boolean): void {
    const updates = new Map<string, WeightUpdate | undefined>();
    this.refreshNotifiers();
    [...this.directory.all].forEach((handle) => {
      if (!handle.model) return;
      const { service, address } = handle.endpoint;
      if (!updates.has(service)) updates.set(service, this.createWeightUpdate(handle));
      const update = updates.get(service);
      const isNotifier = update && this.shouldSendWeights(handle, update.namedMsAgo ?? 0, isChange);
      const weights = isNotifier ? update : undefined;
      const reportEveryMs = this.getReportIntervalMs(handle);
      const value = weights ? { reportEveryMs, weights } : { reportEveryMs };
      this.datagrams.send({ case: 'fleet', value }, address.split(':')[0]!);
    });
  }

  /**
   * Whether this entry sends weight updates to an agent. After a change all entries of the agent's region
   * do, at other times a few. Agents of other regions get a new version from one entry of each region,
   * because the entries of their own region may be cut off from the store.
   */
  private shouldSendWeights(
    { isLocal, endpoint }: EndpointHandle,
    namedMsAgo: number,
    isChange: boolean,
  ): boolean {
    const { instance, bounds } = this.settings;
    if (!isLocal) {
      return (
        namedMsAgo <= bounds.versionMs &&
        this.notifiers.isSelected(endpoint.address, notifiersPerAgent.remote)
      );
    }
    if (isChange || !this.state.entryLocations.has(instance)) return true;
    return this.notifiers.isSelected(endpoint.address, notifiersPerAgent.local);
  }

  /** Updates the entries from which notifiers are chosen, if the registered entries have changed. */
  private refreshNotifiers(): void {
    const { entriesRevision } = this.state;
    if (entriesRevision === this.notifiersRevision) return;
    this.notifiersRevision = entriesRevision;
    this.notifiers.setEntries(this.peers.regionNames);
  }

  private getReportIntervalMs({ isLocal, region }: EndpointHandle): number {
    const { local, remote } = this.directory.getCapacitySharers(region);
    return reportIntervalMs({ entries: isLocal ? local : remote, isLocal });
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
      (handle.endpoint.startedAt !== 0 && handle.endpoint.startedAt !== Number(report.bornAt))
    )
      return;
    const now = this.clock.now();
    const { running, waiting, pacePermille, version, isSwitching, isAnswering } = report;
    const sharers = this.directory.getCapacitySharers(handle.region);
    const load = { running, waiting, slowdown: pacePermille / permille };
    handle.recordSignOfLife(now - report.answeredMsAgo);
    handle.applyLoadReport(load, sharers, this.random, now);
    if (handle.reportedVersion !== version || handle.isSwitching !== isSwitching) {
      this.log.info('Engine changed.', { endpoint: handle.id, version, isSwitching, isAnswering });
    }
    if (!isAnswering && handle.isAnswering) this.guard.recordLoss(handle);
    const switchAt = report.switchInMs === undefined ? undefined : now + report.switchInMs;
    // The engine aborts its running requests before it loads other weights.
    if (isSwitching && !handle.isSwitching) handle.moveStreams(moveGraceMs);
    Object.assign(handle, { reportedVersion: version, isSwitching, isAnswering, switchAt });
    this.onReport(handle);
  }
}
