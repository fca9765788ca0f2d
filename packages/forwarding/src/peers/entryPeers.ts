import type { FleetSettings } from '@laburnumstream/common';
import type { FleetState } from '../fleet/fleetState.js';

/** The registered entries, as seen from this one. */
export class EntryPeers {
  constructor(
    private readonly settings: Pick<FleetSettings, 'instance' | 'region' | 'regions'>,
    private readonly state: Pick<FleetState, 'entryLocations'>,
  ) {}

  /** Hosts of all other entries. */
  get hosts(): string[] {
    return this.getHosts(() => true);
  }

  /** Hosts of the other entries of this entry's region. */
  get regionHosts(): string[] {
    return this.getHosts((dataCentre) => this.isInRegion(dataCentre));
  }

  /** Names of the entries of this entry's region, including its own. */
  get regionNames(): string[] {
    return [...this.state.entryLocations]
      .filter(([, { dataCentre }]) => this.isInRegion(dataCentre))
      .map(([name]) => name);
  }

  private getHosts(isIncluded: (dataCentre: string) => boolean): string[] {
    const { instance } = this.settings;
    return [...this.state.entryLocations]
      .filter(([name, { dataCentre }]) => name !== instance && isIncluded(dataCentre))
      .map(([, { host }]) => host);
  }

  private isInRegion(dataCentre: string): boolean {
    const { region, regions } = this.settings;
    return regions.get(dataCentre) === region;
  }
}
