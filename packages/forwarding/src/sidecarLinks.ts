import type { Clock, FleetSettings, Log, Metrics, Random } from '@laburnumstream/common';
import { NewsTellers, reportIntervalMs } from '@laburnumstream/decisions';
import { FleetDatagrams } from '@laburnumstream/links';
import type { DatagramContent, DatagramHandlers } from '@laburnumstream/links';
import type { EndpointReport } from '@laburnumstream/protocol';
import type { EndpointDirectory } from './endpointDirectory.js';
import type { EndpointHandle } from './endpointHandle.js';
import type { FleetState } from './fleetState.js';
import { LoadSharing } from './loadSharing.js';

/** Time between two datagrams to each agent, in milliseconds. */
const tellMs = 1_000;
/** Entries of a region that tell an agent of weights each second, in its own region and in others. */
const tellers = { near: 4, far: 1 } as const;
/** Time in which further changes are told with the first one, in milliseconds. */
const changeDelayMs = 15;
/** Time in which streams end by themselves at an engine that is about to load, in milliseconds. */
const settleMs = 250;
const permille = 1_000;
const kilobit = 1_000;

type WeightNewsContent = NonNullable<
  Extract<DatagramContent, { case: 'fleet' }>['value']['weights']
>;

/** Tells the agents beside engines what they need to know, and takes their reports. */
export class SidecarLinks {
  private readonly datagrams: FleetDatagrams;

  private readonly sharing: LoadSharing;

  private readonly tellers: NewsTellers;

  /** Changes of the registered entries that the tellers are drawn from. */
  private tellersRevision = -1;

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
      report: (report) => this.takeReport(report),
      load: (load, { sender }) => this.sharing.take(load, sender),
    };
    this.datagrams = new FleetDatagrams(settings.instance, handlers, clock, metrics, log);
    this.tellers = new NewsTellers(settings.instance);
    this.sharing = new LoadSharing(settings, state, directory, this.datagrams, clock);
  }

  async run(signal: AbortSignal): Promise<void> {
    await this.datagrams.bind(this.settings.host, this.settings.firstPort, signal);
    while (!signal.aborted) {
      this.tellAll(false);
      this.sharing.tell();
      await this.clock.sleep(tellMs, signal).catch(() => undefined);
    }
  }

  /** Tells all agents soon, after a change that they have to know. */
  tellSoon(): void {
    this.timer ??= setTimeout(() => {
      this.timer = undefined;
      this.tellAll(true);
    }, changeDelayMs);
  }

  /** This entry's load at an endpoint has changed. */
  loadChanged(): void {
    this.sharing.tellSoon();
  }

  private tellAll(isChange: boolean): void {
    const news = new Map<string, WeightNewsContent | undefined>();
    this.refreshTellers();
    [...this.directory.all].forEach((handle) => {
      if (!handle.model) return;
      const { service, address } = handle.endpoint;
      if (!news.has(service)) news.set(service, this.weightNews(handle));
      const known = news.get(service);
      const tells = known && this.tellsWeights(handle, known.namedMsAgo ?? 0, isChange);
      const weights = tells ? known : undefined;
      const reportEveryMs = this.reportEveryMs(handle);
      const value = weights ? { reportEveryMs, weights } : { reportEveryMs };
      this.datagrams.send({ case: 'fleet', value }, address.split(':')[0]!);
    });
  }

  /**
   * Whether this entry tells an agent of weights: of a change all entries of the agent's region do, at
   * other times a few. Agents of other regions hear of a new version from one entry of each region: those
   * of their own may be cut off from the store.
   */
  private tellsWeights(
    { isNear, endpoint }: EndpointHandle,
    namedMsAgo: number,
    isChange: boolean,
  ): boolean {
    const { instance, bounds } = this.settings;
    if (!isNear) {
      return namedMsAgo <= bounds.versionMs && this.tellers.isAmong(endpoint.address, tellers.far);
    }
    if (isChange || !this.state.places.has(instance)) return true;
    return this.tellers.isAmong(endpoint.address, tellers.near);
  }

  /** Takes the entries of this region as tellers when they have changed. */
  private refreshTellers(): void {
    const { entriesRevision, places } = this.state;
    if (entriesRevision === this.tellersRevision) return;
    this.tellersRevision = entriesRevision;
    const { region, regions } = this.settings;
    const near = [...places].filter(([, { dataCentre }]) => regions.get(dataCentre) === region);
    this.tellers.take(near.map(([name]) => name));
  }

  private reportEveryMs({ isNear, region }: EndpointHandle): number {
    const { near, far } = this.directory.sharers(region);
    return reportIntervalMs({ entries: isNear ? near : far, isNear });
  }

  private weightNews({ endpoint, profile }: EndpointHandle): WeightNewsContent | undefined {
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
      members: this.directory.of(endpoint.service).map((handle) => ({
        host: handle.endpoint.address.split(':')[0]!,
        dataCentre: handle.endpoint.dataCentre,
        version: handle.version ?? 0,
      })),
    };
  }

  private takeReport(report: EndpointReport): void {
    const handle = this.directory.at(report.address);
    if (
      !handle ||
      (handle.endpoint.startedAt !== 0 && handle.endpoint.startedAt !== Number(report.bornAt))
    )
      return;
    const now = this.clock.now();
    const { running, waiting, pacePermille, version, isSwitching, isAnswering } = report;
    const sharers = this.directory.sharers(handle.region);
    const load = { running, waiting, pace: pacePermille / permille };
    handle.takeLoad(load, sharers, this.random, now);
    if (handle.reportedVersion !== version || handle.isSwitching !== isSwitching) {
      this.log.info('Engine changed.', { endpoint: handle.id, version, isSwitching, isAnswering });
    }
    const switchAt = report.switchInMs === undefined ? undefined : now + report.switchInMs;
    // The engine ends what it runs before it loads other weights.
    if (isSwitching && !handle.isSwitching) handle.moveStreams(settleMs);
    Object.assign(handle, { reportedVersion: version, isSwitching, isAnswering, switchAt });
    this.onReport(handle);
  }
}
