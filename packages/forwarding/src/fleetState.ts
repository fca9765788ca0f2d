import type { Endpoint, EntryLocation, Log, Metrics } from '@laburnumstream/common';
import { NamedVersions, RouteTable } from '@laburnumstream/decisions';
import type { FleetChange } from './fleetChange.js';

/** How one kind of change is taken. */
type Handlers = {
  readonly [Kind in FleetChange['kind']]: (
    state: FleetState,
    change: Extract<FleetChange, { kind: Kind }>,
    changedAt: number,
  ) => void;
};

type Handler = (state: FleetState, change: FleetChange, changedAt: number) => void;

const handlers: Handlers = {
  configuration: (state, { configuration }) =>
    state.takeConfiguration(new RouteTable(configuration)),
  endpoint: (state, { id, endpoint }) =>
    endpoint ? state.takeEndpoint(endpoint) : state.removeEndpoint(id),
  evacuation: (state, { dataCentre, isActive }) => state.takeEvacuation(dataCentre, isActive),
  version: (state, { named }, at) => state.takeVersion(named.model, named.version, at),
  entry: (state, { name, place }) => state.takeEntry(name, place),
};

/** What this entry knows of the fleet. Configurations and versions never go back. */
export class FleetState {
  private table: RouteTable | undefined;

  private readonly endpointsById = new Map<string, Endpoint>();

  private readonly evacuated = new Set<string>();

  /** Versions of each model that operators named. */
  private readonly versions = new Map<string, NamedVersions>();

  /** Places of the registered entries by their names. */
  private readonly entryPlaces = new Map<string, EntryLocation>();

  /** Number of the registered entries of each data centre. */
  private readonly entryCounts = new Map<string, number>();

  /** Number of changes of the registered entries. */
  private entryRevision = 0;

  /** Whether several changes are being taken, and whether any of them has to be told. */
  private batch: { isChanged: boolean } | undefined;

  constructor(
    private readonly metrics: Metrics,
    private readonly log: Log,
    /** Called after each change that affects where requests go. */
    private readonly onChange: () => void,
  ) {}

  get routes(): RouteTable | undefined {
    return this.table;
  }

  get endpoints(): ReadonlyMap<string, Endpoint> {
    return this.endpointsById;
  }

  /** Number of entries that are registered. */
  get entries(): number {
    return this.entryPlaces.size;
  }

  /** Places of the registered entries by their names. */
  get places(): ReadonlyMap<string, EntryLocation> {
    return this.entryPlaces;
  }

  /** Grows with each change of the registered entries. */
  get entriesRevision(): number {
    return this.entryRevision;
  }

  /** Number of entries that are registered in some data centres. */
  entriesIn(isIncluded: (dataCentre: string) => boolean): number {
    let count = 0;
    this.entryCounts.forEach((entries, dataCentre) => {
      if (isIncluded(dataCentre)) count += entries;
    });
    return count;
  }

  isEvacuated(dataCentre: string): boolean {
    return this.evacuated.has(dataCentre);
  }

  /** Versions of a model that operators named; undefined when there are none. */
  namedVersions(model: string): NamedVersions | undefined {
    return this.versions.get(model);
  }

  /** The newest named version of each model. */
  get newestVersions(): ReadonlyMap<string, number> {
    return new Map([...this.versions].map(([model, { newest }]) => [model, newest]));
  }

  /** Takes a change that was made at `changedAt` or later, in monotonic milliseconds. */
  apply(change: FleetChange, changedAt: number): void {
    const handler = handlers[change.kind] as Handler;
    handler(this, change, changedAt);
  }

  /** Takes several changes; what follows from them is done once, after the last one. */
  applyTogether(apply: () => void): void {
    const batch = { isChanged: false };
    this.batch = batch;
    try {
      apply();
    } finally {
      this.batch = undefined;
      if (batch.isChanged) this.onChange();
    }
  }

  /** The removals of what a complete list of the store no longer has. */
  missingIn(changes: readonly FleetChange[]): FleetChange[] {
    const ids = new Set<string>();
    const dataCentres = new Set<string>();
    const names = new Set<string>();
    changes.forEach((change) => {
      if (change.kind === 'endpoint') ids.add(change.id);
      if (change.kind === 'evacuation') dataCentres.add(change.dataCentre);
      if (change.kind === 'entry') names.add(change.name);
    });
    const endpoints = [...this.endpointsById.keys()]
      .filter((id) => !ids.has(id))
      .map((id) => ({ kind: 'endpoint', id, endpoint: undefined }) as const);
    const evacuations = [...this.evacuated]
      .filter((dataCentre) => !dataCentres.has(dataCentre))
      .map((dataCentre) => ({ kind: 'evacuation', dataCentre, isActive: false }) as const);
    const entries = [...this.entryPlaces.keys()]
      .filter((name) => !names.has(name))
      .map((name) => ({ kind: 'entry', name, place: undefined }) as const);
    return [...endpoints, ...evacuations, ...entries];
  }

  takeConfiguration(table: RouteTable): void {
    const { version } = table.configuration;
    const known = this.table?.configuration.version ?? -1;
    if (version <= known) return;
    this.table = table;
    this.metrics.gauge('configuration_version', version);
    this.log.info('Configuration in force.', { version, before: known });
    this.changed();
  }

  takeEndpoint(endpoint: Endpoint): void {
    const known = this.endpointsById.get(endpoint.id);
    this.endpointsById.set(endpoint.id, endpoint);
    const { id, service, dataCentre, isDraining, layers } = endpoint;
    this.log.info('Endpoint registered.', {
      endpoint: id,
      service,
      dataCentre,
      isDraining,
      version: layers?.version ?? 0,
      layers: layers ? layers.to - layers.from : 0,
      isNew: known === undefined || known.startedAt !== endpoint.startedAt,
    });
    this.changed();
  }

  removeEndpoint(id: string): void {
    if (!this.endpointsById.delete(id)) return;
    this.log.info('Endpoint gone.', { endpoint: id });
    this.changed();
  }

  takeEvacuation(dataCentre: string, isActive: boolean): void {
    if (isActive === this.evacuated.has(dataCentre)) return;
    if (isActive) this.evacuated.add(dataCentre);
    else this.evacuated.delete(dataCentre);
    this.log.info(isActive ? 'Data centre evacuated.' : 'Data centre returned.', { dataCentre });
    this.changed();
  }

  takeVersion(model: string, version: number, namedAt: number): void {
    const named = this.versions.get(model) ?? new NamedVersions();
    if (version <= named.newest) return;
    named.name(version, namedAt);
    this.versions.set(model, named);
    this.log.info('Version named.', { model, version });
    this.changed();
  }

  takeEntry(name: string, place: EntryLocation | undefined): void {
    const known = this.entryPlaces.get(name);
    if (known) this.countEntry(known.dataCentre, -1);
    if (place) this.countEntry(place.dataCentre, 1);
    if (place === undefined) this.entryPlaces.delete(name);
    else this.entryPlaces.set(name, place);
    this.entryRevision += 1;
    this.metrics.gauge('entries', this.entryPlaces.size);
  }

  private countEntry(dataCentre: string, change: number): void {
    this.entryCounts.set(dataCentre, (this.entryCounts.get(dataCentre) ?? 0) + change);
  }

  private changed(): void {
    if (this.batch) this.batch.isChanged = true;
    else this.onChange();
  }
}
