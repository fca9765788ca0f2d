import type { FleetSettings } from '@laburnumstream/common';
import { NotifierSelection } from '@laburnumstream/decisions';
import type { ColdRate, ColdSharers } from '@laburnumstream/decisions';
import type { FleetState } from '../fleet/fleetState.js';

/** Settings that decide how entries share the rate of a cold endpoint. */
export type ColdSettings = Pick<FleetSettings, 'instance' | 'region' | 'regions'> & {
  readonly bounds: Pick<FleetSettings['bounds'], 'coldFactor' | 'coldSlack'>;
};

/** The registered entries that share the rates of cold endpoints. */
export class ColdSharing {
  /** Selections among the entries on this entry's side of a region: those of it, or all others. */
  private readonly selections = new Map<string, NotifierSelection>();

  /** Revision of the registered entries from which `selections` were built. */
  private revision = -1;

  constructor(
    private readonly settings: ColdSettings,
    private readonly entries: Pick<
      FleetState,
      'entriesRevision' | 'entryLocations' | 'countEntries'
    >,
  ) {}

  /** Number of registered entries in this entry's region; 0 while this entry is not registered. */
  get ownRegionCount(): number {
    const { instance, region } = this.settings;
    return this.entries.entryLocations.has(instance) ? this.countIn(region) : 0;
  }

  /** Returns the allowed rate of a cold endpoint that declares `perSecond` requests. */
  rateOf(perSecond: number): ColdRate {
    const { coldFactor, coldSlack } = this.settings.bounds;
    return { perSecond, factor: coldFactor, slack: coldSlack };
  }

  /** Returns the entries that share a cold endpoint of a region. */
  sharersOf(endpoint: string, region: string): ColdSharers {
    const local = this.countIn(region);
    const isLocal = region === this.settings.region;
    return {
      local: Math.max(isLocal ? 1 : 0, local),
      isLocal,
      isSelected: (count) => this.getSelection(region).isSelected(endpoint, count),
    };
  }

  private countIn(region: string): number {
    const { regions } = this.settings;
    return this.entries.countEntries((dataCentre) => regions.get(dataCentre) === region);
  }

  private getSelection(region: string): NotifierSelection {
    if (this.revision !== this.entries.entriesRevision) {
      this.revision = this.entries.entriesRevision;
      this.selections.clear();
    }
    const known = this.selections.get(region);
    if (known) return known;
    const selection = this.createSelection(region);
    this.selections.set(region, selection);
    return selection;
  }

  private createSelection(region: string): NotifierSelection {
    const { instance, region: ownRegion, regions } = this.settings;
    const isLocal = region === ownRegion;
    const side = [...this.entries.entryLocations].filter(
      ([, { dataCentre }]) => (regions.get(dataCentre) === region) === isLocal,
    );
    const selection = new NotifierSelection(instance);
    selection.setEntries(side.map(([name]) => name));
    return selection;
  }
}
