import type { Endpoint, EntryPlace, Log, Metrics } from '@laburnumstream/common';
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
  private readonly entryPlaces = new Map<string, EntryPlace>();

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
  get places(): ReadonlyMap<string, EntryPlace> {
    return this.entryPlaces;
  }

  /** Number of entries that are registered in some data centres. */
  entriesIn(isIncluded: (dataCentre: string) => boolean): number {
    let count = 0;
    this.entryPlaces.forEach(({ dataCentre }) => {
      if (isIncluded(dataCentre)) count += 1;
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
    this.onChange();
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
      isNew: known === undefined || known.bornAt !== endpoint.bornAt,
    });
    this.onChange();
  }

  removeEndpoint(id: string): void {
    if (!this.endpointsById.delete(id)) return;
    this.log.info('Endpoint gone.', { endpoint: id });
    this.onChange();
  }

  takeEvacuation(dataCentre: string, isActive: boolean): void {
    if (isActive === this.evacuated.has(dataCentre)) return;
    if (isActive) this.evacuated.add(dataCentre);
    else this.evacuated.delete(dataCentre);
    this.log.info(isActive ? 'Data centre evacuated.' : 'Data centre returned.', { dataCentre });
    this.onChange();
  }

  takeVersion(model: string, version: number, namedAt: number): void {
    const named = this.versions.get(model) ?? new NamedVersions();
    if (version <= named.newest) return;
    named.name(version, namedAt);
    this.versions.set(model, named);
    this.log.info('Version named.', { model, version });
    this.onChange();
  }

  takeEntry(name: string, place: EntryPlace | undefined): void {
    if (place === undefined) this.entryPlaces.delete(name);
    else this.entryPlaces.set(name, place);
    this.metrics.gauge('entries', this.entryPlaces.size);
  }
}
