import { SeededRandom } from '@laburnumstream/common';
import type { Endpoint, ForwarderSettings, Log, Metrics } from '@laburnumstream/common';
import { EndpointDirectory, FleetState, EntryCounts } from '@laburnumstream/forwarding';
import type { Eligibility } from '@laburnumstream/forwarding';
import { VirtualClock } from '@laburnumstream/standins';
import { CountedRegions } from './countedRegions.js';
import { platformBounds } from './platformBounds.js';

/** A log that is not read. */
export const quietLog: Log = {
  debug: () => undefined,
  info: () => undefined,
  warn: () => undefined,
  error: () => undefined,
};

/** Metrics that are not read. */
export const noMetrics: Metrics = {
  count: () => undefined,
  gauge: () => undefined,
  observe: () => undefined,
  registerGauges: () => undefined,
};

/** A request that any endpoint may serve. */
export const anywhere: Eligibility = { homeRegions: [], tried: new Set() };

/** The service of all endpoints. */
export const grownService = 'desk';

const dataCentres = ['a', 'b', 'c', 'd', 'e', 'f'] as const;

/** Data centre of the entry or endpoint with a number: they are dealt out in turn. */
function dataCentreOf(index: number): string {
  return dataCentres[index % dataCentres.length]!;
}

/** An endpoint of a plain service. */
export function grownEndpoint(index: number): Endpoint {
  return {
    id: `e${index}`,
    startedAt: 1,
    service: grownService,
    address: `10.1.${Math.floor(index / 250)}.${index % 250}:80`,
    dataCentre: dataCentreOf(index),
    slots: 8,
    isDraining: false,
    coldRemainingMs: 0,
    layers: undefined,
  };
}

/** What one entry knows of a fleet with many entries and endpoints in two regions. */
export class GrownFleet {
  readonly regions = new CountedRegions(
    dataCentres.map((name, index) => [name, index < dataCentres.length / 2 ? 'r1' : 'r2']),
  );

  readonly clock = new VirtualClock();

  readonly state: FleetState;

  readonly directory: EndpointDirectory;

  constructor(entries: number, endpoints: number) {
    const settings: ForwarderSettings = {
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
      isFirstStart: true,
      bounds: platformBounds,
    };
    this.state = new FleetState(noMetrics, quietLog, () => undefined);
    for (let index = 0; index < entries; index += 1) {
      const host = `10.0.${Math.floor(index / 250)}.${index % 250}`;
      this.state.setEntry(`front-${index}`, { host, dataCentre: dataCentreOf(index) });
    }
    for (let index = 0; index < endpoints; index += 1) {
      this.state.setEndpoint(grownEndpoint(index));
    }
    const random = new SeededRandom(1);
    const sharing = new EntryCounts(this.state, settings, this.clock);
    this.directory = new EndpointDirectory(
      settings,
      this.state,
      this.clock,
      noMetrics,
      random,
      sharing,
    );
    this.directory.refresh();
  }
}
