import { SeededRandom } from '@laburnumstream/common';
import type { Endpoint, ForwarderSettings, Log, Metrics } from '@laburnumstream/common';
import { EndpointDirectory, FleetState, EntryCounts } from '@laburnumstream/forwarding';
import type { Eligibility } from '@laburnumstream/forwarding';
import { VirtualClock } from '@laburnumstream/standins';
import { CountingRegionMap } from './countingRegionMap.js';
import { platformBounds } from './platformBounds.js';

/** Log that discards its lines. */
export const noopLog: Log = {
  debug: () => undefined,
  info: () => undefined,
  warn: () => undefined,
  error: () => undefined,
};

/** Metrics that discard their values. */
export const noopMetrics: Metrics = {
  count: () => undefined,
  gauge: () => undefined,
  observe: () => undefined,
  registerGauges: () => undefined,
};

/** Eligibility of a request that any endpoint may serve. */
export const anyEndpoint: Eligibility = { homeRegions: [], tried: new Set() };

/** The service of all endpoints. */
export const testService = 'desk';

const dataCentres = ['a', 'b', 'c', 'd', 'e', 'f'] as const;

/** Returns the data centre of an entry or endpoint; indices are assigned round-robin. */
function getDataCentre(index: number): string {
  return dataCentres[index % dataCentres.length]!;
}

/** Creates the registration of an endpoint of a plain service. */
export function createEndpoint(index: number): Endpoint {
  return {
    id: `e${index}`,
    startedAt: 1,
    service: testService,
    address: `10.1.${Math.floor(index / 250)}.${index % 250}:80`,
    dataCentre: getDataCentre(index),
    slots: 8,
    isDraining: false,
    coldRemainingMs: 0,
    layers: undefined,
  };
}

/** The fleet state and endpoint directory of one entry in a large fleet that spans two regions. */
export class LargeFleet {
  readonly regions = new CountingRegionMap(
    dataCentres.map((name, index) => [name, index < dataCentres.length / 2 ? 'r1' : 'r2']),
  );

  readonly clock = new VirtualClock();

  readonly state: FleetState;

  readonly directory: EndpointDirectory;

  readonly settings: ForwarderSettings;

  constructor(entries: number, endpoints: number) {
    this.settings = {
      instance: 'front-0',
      host: '10.0.0.0',
      dataCentre: 'a',
      region: 'r1',
      regions: this.regions,
      firstPort: 9_000,
      linkBitsPerSecond: 1e9,
      store: { address: '10.2.0.1:1', minLeaseMs: 1_000 },
      heartbeatMs: 1_200,
      callerAddress: '10.0.0.0:1',
      readinessAddress: '10.0.0.0:2',
      memoryBytes: 350_000_000,
      isFirstStart: true,
      bounds: platformBounds,
    };
    const { settings } = this;
    this.state = new FleetState(noopMetrics, noopLog, () => undefined);
    for (let index = 0; index < entries; index += 1) {
      const host = `10.0.${Math.floor(index / 250)}.${index % 250}`;
      this.state.setEntry(`front-${index}`, { host, dataCentre: getDataCentre(index) });
    }
    for (let index = 0; index < endpoints; index += 1) {
      this.state.setEndpoint(createEndpoint(index), 0);
    }
    const random = new SeededRandom(1);
    const sharing = new EntryCounts(this.state, settings, this.clock);
    this.directory = new EndpointDirectory(
      settings,
      this.state,
      this.clock,
      noopMetrics,
      random,
      sharing,
      this.clock,
    );
    this.directory.refresh();
  }
}
