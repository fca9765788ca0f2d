import type { CapacitySharers, RegionDemand, RoomDivision } from '@laburnumstream/decisions';
import { divideRoom, lackingPart, reportIntervalMs } from '@laburnumstream/decisions';
import type { FleetSettings } from '@laburnumstream/common';
import type { EndpointDirectory } from '../endpoints/endpointDirectory.js';
import { engineQueueLimits } from '../endpoints/endpointHandle.js';
import type { EndpointHandle } from '../endpoints/endpointHandle.js';
import { EndpointState } from '../endpoints/endpointState.js';
import type { FleetState } from '../fleet/fleetState.js';
import type { ServiceDemandState } from './serviceDemandState.js';
import type { ServiceDemands } from './serviceDemands.js';

/** States of endpoints that serve requests, if not at each moment. */
const usableStates: ReadonlySet<EndpointState> = new Set([
  EndpointState.free,
  EndpointState.full,
  EndpointState.limited,
  EndpointState.paused,
  EndpointState.resting,
]);
/** Part of its fair number of places whose lack makes a region depend on the others. */
const reliantPart = 0.5;

function sumArrived(counts: readonly { readonly arrived: number }[]): number {
  return counts.reduce((sum, { arrived }) => sum + arrived, 0);
}

/** Divides the room at the endpoints of each region between the entries of all, by their demand. */
export class RegionRoom {
  /** Regions of all data centres. */
  readonly regions: ReadonlySet<string>;

  /** Services for which this region depends on the endpoints of others. */
  private readonly reliantServices = new Set<string>();

  constructor(
    private readonly settings: Pick<FleetSettings, 'region' | 'regions'>,
    private readonly state: Pick<FleetState, 'countEntries'>,
    private readonly directory: Pick<
      EndpointDirectory,
      'forService' | 'getState' | 'getCapacitySharers'
    >,
    private readonly demands: ServiceDemands,
  ) {
    this.regions = new Set(settings.regions.values());
  }

  /** Number of entries of a region. */
  countEntries(region: string): number {
    const { regions, region: ownRegion } = this.settings;
    const count = this.state.countEntries((dataCentre) => regions.get(dataCentre) === region);
    return Math.max(region === ownRegion ? 1 : 0, count);
  }

  /** Places that are free at the usable endpoints of this region. */
  countFreePlaces(service: string, now: number): number {
    return this.usableEndpoints(service)
      .filter(({ isLocal }) => isLocal)
      .reduce((sum, { load, slots }) => sum + Math.max(0, slots - load.outstanding(now)), 0);
  }

  /** Adapts the division to the demand of the regions. */
  update(service: string, state: ServiceDemandState, now: number): void {
    const { region: ownRegion } = this.settings;
    const sums = state.sums.otherRegions(now);
    const places = new Map<string, number>();
    this.usableEndpoints(service).forEach(({ region, slots }) =>
      places.set(region, (places.get(region) ?? 0) + slots),
    );
    const regions = [...this.regions].map((region): RegionDemand => {
      const counts = region === ownRegion ? state.counts : sums.get(region)?.counts;
      const arrived = counts && sumArrived(counts);
      const entries = this.countEntries(region);
      return { region, entries, arrived, places: places.get(region) ?? 0 };
    });
    this.regions.forEach((region) =>
      state.division(region).update(divideRoom(region, regions), now),
    );
    if (lackingPart(ownRegion, regions) > reliantPart) this.reliantServices.add(service);
    else this.reliantServices.delete(service);
  }

  /** Whether this region depends on the endpoints of others for a service. */
  isReliant(service: string): boolean {
    return this.reliantServices.has(service) && this.demands.get(service) !== undefined;
  }

  /**
   * Returns the entries that share the capacity of an endpoint, and this entry's part. `regionRequests` is
   * the number of requests of this entry's region there.
   */
  getSharers(handle: EndpointHandle, regionRequests: number): CapacitySharers {
    const { isLocal, region, endpoint, load, slots } = handle;
    const sharers = this.directory.getCapacitySharers(region);
    const division = this.demands.get(endpoint.service)?.division(region).value;
    if (!division) return sharers;
    if (!isLocal) return { ...sharers, ownPart: this.getRemotePart(sharers, division, endpoint) };
    const ownPart = division.local / Math.max(1, sharers.local);
    const kept = (slots + engineQueueLimits.spare) * (1 - division.owed);
    const regionExcess = division.owed > 0 ? Math.max(0, regionRequests - kept) : 0;
    const excess = regionRequests > 0 ? (regionExcess * load.ownLoad.requests) / regionRequests : 0;
    return { ...sharers, ownPart, excess };
  }

  /** Part for one entry of this region at endpoints of another. */
  private getRemotePart(
    { local, remote }: CapacitySharers,
    division: RoomDivision,
    { service }: { readonly service: string },
  ): number {
    const { region: ownRegion } = this.settings;
    const entries = this.countEntries(ownRegion);
    const part = (division.remote.get(ownRegion) ?? 0) / entries;
    if (local === 0) return part;
    // A share applies until the next report, and those to other regions are less frequent; meanwhile their
    // entries keep the places that they have, which makes up for a part of it.
    const isReliant = this.isReliant(service);
    const remoteMs = reportIntervalMs({ entries: remote, isLocal: false, isReliant });
    return part * Math.sqrt(remoteMs / reportIntervalMs({ entries: local, isLocal: true }));
  }

  private usableEndpoints(service: string): EndpointHandle[] {
    return this.directory
      .forService(service)
      .filter((handle) => usableStates.has(this.directory.getState(handle)));
  }
}
