import type { Clock, FleetSettings, Gauge, Log, Metrics } from '@laburnumstream/common';
import { servedShare } from '@laburnumstream/decisions';
import type { FleetDatagrams } from '@laburnumstream/links';
import type { EndpointDirectory } from '../endpoints/endpointDirectory.js';
import type { FleetState } from '../fleet/fleetState.js';
import type { AdaptiveServices } from '../placement/adaptiveServices.js';
import { DemandExchange } from './demandExchange.js';
import { DemandLog } from './demandLog.js';
import type { EntryPeers } from './entryPeers.js';
import { PriorityAdmission } from './priorityAdmission.js';
import { RegionRoom } from './regionRoom.js';
import { ServiceDemands } from './serviceDemands.js';
import type { ServiceDemandState } from './serviceDemandState.js';

/** Adaptive admission by the demand on services: the parts that decide, and the exchange that feeds them. */
export class DemandControl {
  /** Observes the requests in the queue and keeps places free. */
  readonly admission: PriorityAdmission;

  /** Divides the room at endpoints between regions. */
  readonly room: RegionRoom;

  private readonly demands: ServiceDemands;

  private readonly changes: DemandLog;

  constructor(
    private readonly settings: Pick<FleetSettings, 'instance' | 'region' | 'regions'>,
    private readonly state: Pick<FleetState, 'entryLocations' | 'countEntries'>,
    directory: Pick<EndpointDirectory, 'forService' | 'getState' | 'getCapacitySharers'>,
    adaptive: Pick<AdaptiveServices, 'has'>,
    private readonly clock: Clock,
    log: Log,
  ) {
    this.demands = new ServiceDemands(adaptive);
    this.admission = new PriorityAdmission(this.demands);
    this.room = new RegionRoom(settings, state, directory, this.demands);
    this.changes = new DemandLog(settings.region, clock, log);
  }

  /** Creates the exchange with other entries. */
  createExchange(
    peers: EntryPeers,
    datagrams: Pick<FleetDatagrams, 'sendAll'>,
    metrics: Pick<Metrics, 'count'>,
  ): DemandExchange {
    const { settings, state, demands, room, clock } = this;
    return new DemandExchange(
      settings,
      state,
      peers,
      demands,
      room,
      datagrams,
      clock,
      metrics,
      (service, demand) => this.changes.record(service, demand),
    );
  }

  /** Returns gauges of the region's served shares, of the reserves and of the parts of other regions. */
  gauges(): Gauge[] {
    return [...this.demands.all].flatMap(([service, state]) => [
      ...this.reserveGauges(service, state),
      ...this.roomGauges(service, state),
      ...this.demandGauges(service, state),
      ...state.counts.map((counts) => ({
        name: 'demand_served_share',
        value: servedShare([counts]),
        labels: { service, priority: String(counts.priority) },
      })),
    ]);
  }

  private demandGauges(service: string, state: ServiceDemandState): Gauge[] {
    const others = [...state.sums.otherRegions(this.clock.now())];
    const all = [[this.settings.region, state] as const, ...others];
    return all.map(([region, { counts }]) => ({
      name: 'region_demand_per_second',
      value: counts.reduce((sum, { arrived }) => sum + arrived, 0),
      labels: { service, region },
    }));
  }

  private reserveGauges(service: string, state: ServiceDemandState): Gauge[] {
    return [...state.reserve(this.settings.region).all].map(([priority, value]) => ({
      name: 'priority_reserve_share',
      value,
      labels: { service, priority: String(priority) },
    }));
  }

  private roomGauges(service: string, state: ServiceDemandState): Gauge[] {
    const division = state.division(this.settings.region).value;
    return [...(division?.remote ?? [])].map(([region, value]) => ({
      name: 'region_room_share',
      value,
      labels: { service, region },
    }));
  }
}
