import type { FleetSettings } from '@laburnumstream/common';
import { NotifierSelection } from '@laburnumstream/decisions';
import type { ColdRate, ColdSharers } from '@laburnumstream/decisions';
import type { FleetState } from '../fleet/fleetState.js';

/** Settings that decide how entries share the rate of a cold endpoint. */
export type ColdSettings = Pick<FleetSettings, 'instance' | 'region' | 'regions'> & {
  readonly bounds: Pick<FleetSettings['bounds'], 'coldFactor' | 'coldSlack'>;
};

/** The entries on this entry's side of a region: those of it, or all others. */
interface Side {
  readonly local: number;
  readonly selection: NotifierSelection;
}

/** The registered entries that share the rates of cold endpoints. */
export class ColdSharing {
  private readonly sides = new Map<string, Side>();

  /** Revision of the registered entries from which `sides` were built. */
  private revision = -1;

  constructor(
    private readonly settings: ColdSettings,
    private readonly entries: Pick<FleetState, 'entriesRevision' | 'entryLocations'>,
  ) {}

  /** Number of registered entries in this entry's region; 0 while this entry is not registered. */
  get ownRegionCount(): number {
    const { instance, region } = this.settings;
    return this.entries.entryLocations.has(instance) ? this.getSide(region).local : 0;
  }

  /** Returns the allowed rate of a cold endpoint that declares `perSecond` requests. */
  rateOf(perSecond: number): ColdRate {
    const { coldFactor, coldSlack } = this.settings.bounds;
    return { perSecond, factor: coldFactor, slack: coldSlack };
  }

  /** Returns the entries that share a cold endpoint of a region. */
  sharersOf(endpoint: string, region: string): ColdSharers {
    const { local, selection } = this.getSide(region);
    const isLocal = region === this.settings.region;
    return {
      local: Math.max(isLocal ? 1 : 0, local),
      isLocal,
      isSelected: (count) => selection.isSelected(endpoint, count),
    };
  }

  private getSide(region: string): Side {
    if (this.revision !== this.entries.entriesRevision) {
      this.revision = this.entries.entriesRevision;
      this.sides.clear();
    }
    const known = this.sides.get(region);
    if (known) return known;
    const side = this.createSide(region);
    this.sides.set(region, side);
    return side;
  }

  private createSide(region: string): Side {
    const { instance, region: ownRegion, regions } = this.settings;
    const isLocal = region === ownRegion;
    const locations = [...this.entries.entryLocations];
    const inRegion = locations.filter(([, { dataCentre }]) => regions.get(dataCentre) === region);
    const local = new Set(inRegion.map(([name]) => name));
    const names = locations.map(([name]) => name).filter((name) => local.has(name) === isLocal);
    const selection = new NotifierSelection(instance);
    selection.setEntries(names);
    return { local: local.size, selection };
  }
}
