import { toBinary, create } from '@bufbuild/protobuf';
import { DemandReportSchema } from '@laburnumstream/protocol';
import type { DemandReport, ServiceDemand } from '@laburnumstream/protocol';
import { DemandControl, EntryPeers } from '@laburnumstream/forwarding';
import type { DemandExchange } from '@laburnumstream/forwarding';
import type { DatagramContent } from '@laburnumstream/links';
import { VirtualClock } from '@laburnumstream/standins';
import { noopLog, noopMetrics } from './largeFleet.js';

const exchangeMs = 200;
const entriesPerRegion = 12;
const regionNames = ['r0', 'r1', 'r2'] as const;

/** The service to which adaptive admission applies. */
export const adaptiveService = 'model';

/** The demand control of one entry. */
export interface DemandEntry {
  readonly name: string;
  readonly region: string;
  readonly control: DemandControl;
  readonly exchange: DemandExchange;
}

/** Entries of 3 regions that exchange their demand through encoded datagrams. */
export class DemandFleet {
  readonly clock = new VirtualClock();

  readonly entries: readonly DemandEntry[];

  datagrams = 0;

  /** Sizes of the reports that passed between regions, in bytes. */
  readonly remoteSizes: number[] = [];

  constructor() {
    const locations = new Map(
      regionNames.flatMap((dataCentre, region) =>
        Array.from({ length: entriesPerRegion }, (_, index): [string, EntryPlace] => [
          `${dataCentre}-${index}`,
          { host: `10.0.${region}.${index}`, dataCentre },
        ]),
      ),
    );
    this.entries = [...locations].map(([name, place]) => this.createEntry(name, place, locations));
  }

  /** Lets all entries exchange their demand for some time. */
  async run(durationMs: number): Promise<void> {
    const endAt = this.clock.now() + durationMs;
    this.entries.forEach(({ exchange }, index) => {
      for (let at = this.clock.now() + index; at < endAt; at += exchangeMs)
        this.clock.schedule(at, () => exchange.exchange());
    });
    await this.clock.runUntil(endAt);
  }

  /** Requests per second that an entry knows of, by region. */
  static knownDemand({ control }: DemandEntry): Map<string, number> {
    const gauges = control.gauges().filter(({ name }) => name === 'region_demand_per_second');
    return new Map(gauges.map(({ labels, value }) => [labels!.region!, value]));
  }

  private createEntry(
    instance: string,
    { dataCentre }: EntryPlace,
    entryLocations: ReadonlyMap<string, EntryPlace>,
  ): DemandEntry {
    const regions = new Map(regionNames.map((name) => [name, name] as [string, string]));
    const settings = { instance, region: dataCentre, regions };
    const state = {
      entryLocations,
      countEntries: (isIncluded: (name: string) => boolean) =>
        regionNames.filter(isIncluded).length * entriesPerRegion,
    };
    const directory = {
      forService: () => [],
      getState: () => 'free' as const,
      getCapacitySharers: () => ({ local: 1, remote: 0, isLocal: true }),
    };
    const adaptive = { has: (service: string) => service === adaptiveService };
    const { clock } = this;
    const control = new DemandControl(settings, state, directory, adaptive, clock, noopLog);
    const peers = new EntryPeers(settings, state);
    const sendAll = (content: DatagramContent, hosts: readonly string[]): void =>
      this.deliver(instance, dataCentre, content, hosts);
    const exchange = control.createExchange(peers, { sendAll }, noopMetrics);
    return { name: instance, region: dataCentre, control, exchange };
  }

  private deliver(
    sender: string,
    region: string,
    content: DatagramContent,
    hosts: readonly string[],
  ): void {
    if (content.case !== 'demand') return;
    const report = create(DemandReportSchema, content.value);
    const { length } = toBinary(DemandReportSchema, report);
    hosts.forEach((host) => {
      const [, , number, index] = host.split('.').map(Number);
      const receiver = this.entries[number! * entriesPerRegion + index!]!;
      this.datagrams += 1;
      if (receiver.region !== region) this.remoteSizes.push(length);
      this.clock.schedule(this.clock.now() + 1, () =>
        receiver.exchange.receive(report, { sender }),
      );
    });
  }
}

interface EntryPlace {
  readonly host: string;
  readonly dataCentre: string;
}

/** Creates a report on one service. */
export function createReport(
  demand: Partial<Pick<ServiceDemand, 'service' | 'region'>>,
  priorities = 1,
): DemandReport {
  return create(DemandReportSchema, {
    demands: [
      {
        service: adaptiveService,
        region: '',
        priorities: Array.from({ length: priorities }, (_, priority) => ({
          priority,
          arrived: 1,
          refused: 1,
        })),
        ...demand,
      },
    ],
  });
}
