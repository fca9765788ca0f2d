import type { Clock, FleetSettings, Random } from '@laburnumstream/common';
import { NotifierSelection, reportIntervalMs } from '@laburnumstream/decisions';
import { toDatagramNumber } from '@laburnumstream/links';
import type { DatagramContent, FleetDatagrams } from '@laburnumstream/links';
import type { EndpointDirectory } from '../endpoints/endpointDirectory.js';
import type { EndpointHandle } from '../endpoints/endpointHandle.js';
import type { EntryPeers } from './entryPeers.js';
import type { FleetState } from '../fleet/fleetState.js';

/** Entries of a region that send weight updates to an agent, in the agent's region and in each other one. */
const notifiersPerAgent = { local: 4, remote: 1 } as const;
/** Rounds from one regular update of an agent to the next. */
const roundsPerUpdate = 3;
/** Time without reports after which an agent may have restarted and know no entries, in milliseconds. */
const silentAgentMs = 1_500;
const kilobit = 1_000;

type Update = Extract<DatagramContent, { case: 'fleet' }>['value'];
type WeightUpdate = NonNullable<Update['weights']>;

/** An update and the agents that receive it. */
interface AddressedUpdate {
  readonly value: Update;
  readonly hosts: readonly string[];
}

function getHost({ endpoint }: EndpointHandle): string {
  return endpoint.address.split(':')[0]!;
}

/** Longest possible time since the version of an update was named, in milliseconds; infinite without one. */
function getAgeMs(update: WeightUpdate | undefined): number {
  const { namedMsAgo = Infinity, unseenMs = 0 } = update ?? {};
  return namedMsAgo + unseenMs;
}

/** Describes what agents act on in a weight update; the age of the version changes all the time. */
function describe({ version, origin, members = [] }: WeightUpdate): string {
  const holders = members.map((member) => `${member.host} ${member.version}`);
  return [version, origin, ...holders].join();
}

/**
 * Sends updates to the agents of engines: how often to report, and to some of them the wanted weights.
 * Agents that get the same update share one encoded datagram, as the list of members is long.
 */
export class AgentUpdates {
  private readonly notifiers: NotifierSelection;

  /** Revision of the registered entries from which `notifiers` was built. */
  private notifiersRevision = -1;

  /** Description of the last weight update, by service. */
  private readonly descriptions = new Map<string, string>();

  /** Round in which each agent is due for its next regular update, by host. */
  private dueRounds = new Map<string, number>();

  /** Number of rounds of regular updates. */
  private round = 0;

  /** Services whose agents elsewhere have been asked to report more often, as this region depends on them. */
  private reliantServices: ReadonlySet<string> = new Set();

  constructor(
    private readonly settings: FleetSettings,
    private readonly state: FleetState,
    private readonly directory: EndpointDirectory,
    private readonly peers: EntryPeers,
    private readonly datagrams: Pick<FleetDatagrams, 'sendAll'>,
    private readonly clock: Clock,
    private readonly random: Random,
    /** Whether this entry's region depends on the endpoints of other regions for a service. */
    private readonly isReliant: (service: string) => boolean = () => false,
  ) {
    this.notifiers = new NotifierSelection(settings.instance);
  }

  /**
   * Sends the regular update to a part of the agents, so that each gets one every few rounds. A version
   * that was named lately is repeated in each round, as agents must learn of it in time, and so is the
   * update of an agent that no longer reports, or that is to report at another interval.
   */
  sendRegular(): void {
    this.round += 1;
    const { versionMs } = this.settings.bounds;
    const before = this.reliantServices;
    const services = [...this.directory.all].map(({ endpoint }) => endpoint.service);
    this.reliantServices = new Set(services.filter((service) => this.isReliant(service)));
    const hasNewInterval = ({ isLocal, endpoint: { service } }: EndpointHandle): boolean =>
      !isLocal && before.has(service) !== this.reliantServices.has(service);
    this.send(
      (handle, weights) =>
        this.isDue(handle) || hasNewInterval(handle) || getAgeMs(weights) <= versionMs,
    );
  }

  /** Sends updates after a change of the fleet: to new agents, and to others if their weights changed. */
  sendChanges(): void {
    this.send(
      (handle, weights, isChanged) =>
        !this.dueRounds.has(getHost(handle)) || (isChanged && weights !== undefined),
    );
  }

  private isDue(handle: EndpointHandle): boolean {
    return (this.dueRounds.get(getHost(handle)) ?? 0) <= this.round || this.isOverdue(handle);
  }

  /** Whether an agent has reported to this entry, but not lately. */
  private isOverdue({ load }: EndpointHandle): boolean {
    const ageMs = load.reportAgeMs(this.clock.now());
    return ageMs > silentAgentMs && ageMs < Infinity;
  }

  private send(
    isReceiver: (
      handle: EndpointHandle,
      weights: WeightUpdate | undefined,
      isChanged: boolean,
    ) => boolean,
  ): void {
    this.refreshNotifiers();
    const engines = [...this.directory.all].filter(({ model }) => model);
    const weightsByService = this.createWeightUpdates(engines);
    const changedServices = this.recordChanges(weightsByService);
    const updates = new Map<string, AddressedUpdate>();
    engines.forEach((handle) => {
      const { service } = handle.endpoint;
      const weights = this.selectWeights(handle, weightsByService.get(service));
      if (!isReceiver(handle, weights, changedServices.has(service))) return;
      const reportEveryMs = this.getReportIntervalMs(handle);
      const key = `${reportEveryMs} ${weights ? service : ''}`;
      const value = weights ? { reportEveryMs, weights } : { reportEveryMs };
      const { hosts } = updates.get(key) ?? { hosts: [] };
      updates.set(key, { value, hosts: [...hosts, getHost(handle)] });
    });
    updates.forEach(({ value, hosts }) => this.datagrams.sendAll({ case: 'fleet', value }, hosts));
    this.scheduleNext(engines.map(getHost));
  }

  /** Schedules the next regular updates; those of new agents are spread over the rounds. */
  private scheduleNext(hosts: readonly string[]): void {
    const { round } = this;
    const next = (host: string): number => {
      const due = this.dueRounds.get(host);
      if (due === undefined) return round + 1 + Math.floor(this.random.next() * roundsPerUpdate);
      return due <= round ? round + roundsPerUpdate : due;
    };
    this.dueRounds = new Map(hosts.map((host) => [host, next(host)]));
  }

  private createWeightUpdates(
    engines: readonly EndpointHandle[],
  ): Map<string, WeightUpdate | undefined> {
    const updates = new Map<string, WeightUpdate | undefined>();
    engines.forEach((handle) => {
      const { service } = handle.endpoint;
      if (!updates.has(service)) updates.set(service, this.createWeightUpdate(handle));
    });
    return updates;
  }

  /** Returns the services whose agents have to act on an update that differs from the last one. */
  private recordChanges(updates: ReadonlyMap<string, WeightUpdate | undefined>): Set<string> {
    const changed = new Set<string>();
    updates.forEach((update, service) => {
      const description = update ? describe(update) : '';
      if (this.descriptions.get(service) !== description) changed.add(service);
      this.descriptions.set(service, description);
    });
    return changed;
  }

  /**
   * Returns the weight update if this entry sends it to an agent; a few entries do. Agents of other
   * regions get a new version from one entry of each region, because the entries of their own region may
   * be cut off from the store.
   */
  private selectWeights(
    { isLocal, endpoint }: EndpointHandle,
    update: WeightUpdate | undefined,
  ): WeightUpdate | undefined {
    const { instance, bounds } = this.settings;
    if (!isLocal && update && getAgeMs(update) > bounds.versionMs) return undefined;
    // An entry that is not registered has no rank among the others.
    const isNotifier =
      (isLocal && !this.state.entryLocations.has(instance)) ||
      this.notifiers.isSelected(
        endpoint.address,
        isLocal ? notifiersPerAgent.local : notifiersPerAgent.remote,
      );
    return isNotifier ? update : undefined;
  }

  /** Updates the entries from which notifiers are chosen, if the registered entries have changed. */
  private refreshNotifiers(): void {
    const { entriesRevision } = this.state;
    if (entriesRevision === this.notifiersRevision) return;
    this.notifiersRevision = entriesRevision;
    this.notifiers.setEntries(this.peers.regionNames);
  }

  private getReportIntervalMs({ isLocal, region, endpoint }: EndpointHandle): number {
    const { local, remote } = this.directory.getCapacitySharers(region);
    const isReliant = this.reliantServices.has(endpoint.service);
    return reportIntervalMs({ entries: isLocal ? local : remote, isLocal, isReliant });
  }

  /**
   * Returns how long ago a version was named. Agents use the earliest date that any entry knows, so a time of day
   * that is set ahead here, which looks like a suspension, must not date it back, and a guess is told as one.
   */
  private describeAge(
    model: string,
    version: number,
  ): Pick<WeightUpdate, 'namedMsAgo' | 'unseenMs'> {
    const date = this.state.namedVersions(model)?.dateOf(version);
    const ageMs = this.clock.now() - (date?.monotonicAt ?? 0);
    const unseenMs = Math.min(ageMs, date?.unseenMs ?? 0);
    return {
      namedMsAgo: toDatagramNumber(ageMs - unseenMs),
      unseenMs: toDatagramNumber(unseenMs),
    };
  }

  private createWeightUpdate({ endpoint, profile }: EndpointHandle): WeightUpdate | undefined {
    const engine = profile?.engine;
    const [model] = engine?.models ?? [];
    if (!engine || !model) return undefined;
    const services = this.state.routes?.configuration.services;
    const origin = [...(services?.values() ?? [])].find((service) => service.origin)?.origin;
    const version = this.state.namedVersions(model.name)?.newest ?? 1;
    return {
      model: model.name,
      version,
      ...this.describeAge(model.name, version),
      origin: origin?.address ?? '',
      originDataCentre: origin?.dataCentre ?? '',
      originKbitPerS: toDatagramNumber((origin?.linkBitsPerSecond ?? 0) / kilobit),
      layers: engine.layers,
      chunks: engine.chunks,
      chunkBytes: engine.chunkBytes,
      loadMs: toDatagramNumber(model.loadMs),
      members: this.directory.forService(endpoint.service).map((handle) => ({
        host: getHost(handle),
        dataCentre: handle.endpoint.dataCentre,
        version: handle.version ?? 0,
      })),
    };
  }
}
