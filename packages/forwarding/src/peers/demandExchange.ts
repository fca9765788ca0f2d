import { rendezvousOrder } from '@laburnumstream/common';
import type { Clock, FleetSettings, Metrics } from '@laburnumstream/common';
import { demandIntervalMs, servedShare } from '@laburnumstream/decisions';
import type { PriorityCounts } from '@laburnumstream/decisions';
import type { DatagramSource, FleetDatagrams } from '@laburnumstream/links';
import type { DemandReport, ServiceDemand } from '@laburnumstream/protocol';
import type { FleetState } from '../fleet/fleetState.js';
import { encodeDemand, maxPriorities } from './demandReports.js';
import type { EncodedDemand } from './demandReports.js';
import type { EntryPeers } from './entryPeers.js';
import type { RegionRoom } from './regionRoom.js';
import type { ServiceDemandState } from './serviceDemandState.js';
import type { ServiceDemands } from './serviceDemands.js';

/** Entries of a region that send its sum to each other region, and that receive it there. */
const exchangersPerRegion = 2;
/** Maximum number of demands in one datagram, so that it fits a packet. */
const maxDemandsPerDatagram = 12;

/** Sends the results of this entry's requests to other entries, and adapts to the results that they send. */
export class DemandExchange {
  constructor(
    private readonly settings: Pick<FleetSettings, 'instance' | 'region' | 'regions'>,
    private readonly state: Pick<FleetState, 'entryLocations'>,
    private readonly peers: EntryPeers,
    private readonly demands: ServiceDemands,
    private readonly room: RegionRoom,
    private readonly datagrams: Pick<FleetDatagrams, 'sendAll'>,
    private readonly clock: Clock,
    private readonly metrics: Pick<Metrics, 'count'>,
    /** Called after the reserves and divisions have been adapted. */
    private readonly onUpdate: (service: string, state: ServiceDemandState) => void,
  ) {}

  /** Exchanges demand at intervals until the signal fires. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.exchange();
      const intervalMs = demandIntervalMs(this.room.countEntries(this.settings.region));
      await this.clock.sleep(intervalMs, signal).catch(() => undefined);
    }
  }

  /** Adapts to the demand of the last second, and reports this entry's part of it. */
  exchange(): void {
    const now = this.clock.now();
    const parts: EncodedDemand[] = [];
    const sums: EncodedDemand[] = [];
    const isExchanger = this.selectEntries(this.settings.region).includes(this.settings.instance);
    this.demands.all.forEach((state, service) => {
      const own = state.window.read(now);
      const entries = this.room.countEntries(this.settings.region);
      const sum = state.sums.sumRegion(own, entries, now);
      this.adapt(service, state, sum, now);
      // An entry without demand reports to those that have some: without a report they assume that it has as much.
      if (own.length > 0 || state.sums.hasPeerDemand(now))
        parts.push(encodeDemand(service, '', own));
      parts.push(...DemandExchange.createForwards(service, state, now));
      if (!isExchanger || sum.length === 0) return;
      const freePlaces = this.room.countFreePlaces(service, now);
      sums.push(encodeDemand(service, this.settings.region, sum, { freePlaces }));
    });
    this.send(parts, this.peers.regionHosts);
    if (sums.length > 0) this.send(sums, this.findRemoteExchangers());
  }

  /** Records a report of another entry. */
  receive({ demands }: DemandReport, { sender }: Pick<DatagramSource, 'sender'>): void {
    const now = this.clock.now();
    const isFromRegion = this.isFromRegion(sender);
    demands.forEach((demand) => {
      const state = this.demands.get(demand.service);
      if (state && demand.priorities.length <= maxPriorities)
        this.record(state, demand, sender, isFromRegion, now);
      else this.metrics.count('demand_reports_dropped');
    });
  }

  private record(
    { sums }: ServiceDemandState,
    { region, priorities, freePlaces, ageMs }: ServiceDemand,
    sender: string,
    isFromRegion: boolean,
    now: number,
  ): void {
    if (region === '') {
      if (isFromRegion) sums.recordPart(sender, priorities, now);
      return;
    }
    if (region === this.settings.region || !this.room.regions.has(region)) return;
    sums.recordRegion(region, {
      counts: priorities,
      freePlaces,
      at: now - ageMs,
      isDirect: !isFromRegion,
    });
  }

  private adapt(
    service: string,
    state: ServiceDemandState,
    sum: readonly PriorityCounts[],
    now: number,
  ): void {
    const { region: ownRegion } = this.settings;
    const others = state.sums.otherRegions(now);
    this.room.regions.forEach((region) => {
      const counts = region === ownRegion ? sum : (others.get(region)?.counts ?? []);
      state.reserve(region).update(counts, now);
    });
    Object.assign(state, { counts: sum, served: servedShare(sum) });
    this.room.update(service, state, now);
    this.onUpdate(service, state);
  }

  /** Sums that other regions have sent to this entry, for the entries of its own. */
  private static createForwards(
    service: string,
    { sums }: ServiceDemandState,
    now: number,
  ): EncodedDemand[] {
    return [...sums.otherRegions(now)]
      .filter(([, { isDirect }]) => isDirect)
      .map(([region, { counts, freePlaces, at }]) =>
        encodeDemand(service, region, counts, { freePlaces, ageMs: now - at }),
      );
  }

  private send(demands: readonly EncodedDemand[], hosts: readonly string[]): void {
    if (hosts.length === 0) return;
    for (let start = 0; start < demands.length; start += maxDemandsPerDatagram) {
      const some = demands.slice(start, start + maxDemandsPerDatagram);
      this.datagrams.sendAll({ case: 'demand', value: { demands: some } }, hosts);
    }
  }

  /** Names of the entries of a region that exchange its sum with other regions. */
  private selectEntries(region: string): string[] {
    const { regions } = this.settings;
    const names = [...this.state.entryLocations]
      .filter(([, { dataCentre }]) => regions.get(dataCentre) === region)
      .map(([name]) => name);
    return rendezvousOrder(region, names, (name) => name).slice(0, exchangersPerRegion);
  }

  private findRemoteExchangers(): string[] {
    return [...this.room.regions]
      .filter((region) => region !== this.settings.region)
      .flatMap((region) => this.selectEntries(region))
      .flatMap((name) => this.state.entryLocations.get(name)?.host ?? []);
  }

  /** Whether a sender is in this region; one that is not registered yet counts as such. */
  private isFromRegion(sender: string): boolean {
    const location = this.state.entryLocations.get(sender);
    return !location || this.settings.regions.get(location.dataCentre) === this.settings.region;
  }
}
