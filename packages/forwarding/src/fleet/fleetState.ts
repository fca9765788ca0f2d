import type { Endpoint, EntryLocation, Log, Metrics } from '@laburnumstream/common';
import { NamedVersions, RouteTable } from '@laburnumstream/decisions';
import type { FleetChange } from './fleetChange.js';

/** A change that concerns crashes of endpoints. */
export type CrashChange = Extract<FleetChange, { kind: 'crashes' | 'quarantine' }>;

/** Times of a change on a clock that runs during suspensions, in milliseconds. */
export interface ChangeTimes {
  /** Earliest time at which it may have been made. */
  readonly changedAt: number;
  /** Earliest time at which changes that it has replaced may have been made. */
  readonly unseenSince: number;
  /** Advance of the clock over the monotonic one. */
  readonly suspendedMs: number;
  /** Time from `changedAt` on for which it is a guess that it had not been made before; 0 if that is proven. */
  readonly unseenMs: number;
}

/** How each kind of change is applied. */
type Handlers = {
  readonly [Kind in FleetChange['kind']]: (
    state: FleetState,
    change: Extract<FleetChange, { kind: Kind }>,
    times: ChangeTimes,
  ) => void;
};

type Handler = (state: FleetState, change: FleetChange, times: ChangeTimes) => void;

/** Returns the earliest monotonic time at which a change may have been made, in milliseconds. */
function monotonicTime({ changedAt, suspendedMs }: ChangeTimes): number {
  return changedAt - suspendedMs;
}

const handlers: Handlers = {
  configuration: (state, { configuration }) =>
    state.setConfiguration(new RouteTable(configuration)),
  endpoint: (state, { id, endpoint }, times) =>
    endpoint
      ? state.setEndpoint(endpoint, monotonicTime(times))
      : state.removeEndpoint(id, monotonicTime(times)),
  evacuation: (state, { dataCentre, isActive }, times) =>
    state.setEvacuation(dataCentre, isActive, monotonicTime(times)),
  version: (state, { named }, times) => state.addNamedVersion(named.model, named.version, times),
  entry: (state, { name, location }) => state.setEntry(name, location),
  crashes: (state, change) => state.applyCrashChange(change),
  quarantine: (state, change) => state.setQuarantine(change),
};

/** This entry's view of the fleet. Configuration and weight versions never decrease. */
export class FleetState {
  private routeTable: RouteTable | undefined;

  private readonly endpointsById = new Map<string, Endpoint>();

  /** Monotonic times since when data centres are evacuated, in milliseconds. */
  private readonly evacuatedSince = new Map<string, number>();

  /** Monotonic times since when registered endpoints drain, by id, in milliseconds. */
  private readonly drainingSince = new Map<string, number>();

  /** Monotonic times of departures that the endpoint directory has not taken up yet, by id, in milliseconds. */
  private readonly departedAt = new Map<string, number>();

  /** Versions of the weights that operators named, by model. */
  private readonly namedVersionsByModel = new Map<string, NamedVersions>();

  /** Locations of the registered entries, by name. */
  private readonly locationsByEntry = new Map<string, EntryLocation>();

  /** Number of registered entries, by data centre. */
  private readonly entriesByDataCentre = new Map<string, number>();

  /** Keys of the stored quarantines. */
  private readonly quarantineKeys = new Set<string>();

  /** Number of changes to the registered entries. */
  private entryChanges = 0;

  /** Set while a batch of changes is applied; `isChanged` tells whether `onChange` is due after it. */
  private batch: { isChanged: boolean } | undefined;

  constructor(
    private readonly metrics: Metrics,
    private readonly log: Log,
    /** Called after each change or batch that affects where requests can be sent. */
    private readonly onChange: () => void,
    /** Called with each change that concerns crashes of endpoints. */
    private readonly onCrashChange: (change: CrashChange) => void = () => undefined,
  ) {}

  get routes(): RouteTable | undefined {
    return this.routeTable;
  }

  get endpoints(): ReadonlyMap<string, Endpoint> {
    return this.endpointsById;
  }

  /** Number of registered entries. */
  get entryCount(): number {
    return this.locationsByEntry.size;
  }

  /** Locations of the registered entries, by name. */
  get entryLocations(): ReadonlyMap<string, EntryLocation> {
    return this.locationsByEntry;
  }

  /** Increases with each change to the registered entries. */
  get entriesRevision(): number {
    return this.entryChanges;
  }

  /** Counts the registered entries of those data centres for which `isIncluded` returns true. */
  countEntries(isIncluded: (dataCentre: string) => boolean): number {
    let count = 0;
    this.entriesByDataCentre.forEach((entries, dataCentre) => {
      if (isIncluded(dataCentre)) count += entries;
    });
    return count;
  }

  isEvacuated(dataCentre: string): boolean {
    return this.evacuatedSince.has(dataCentre);
  }

  /**
   * Returns the earliest monotonic time since when a registered endpoint may be to get no requests, in milliseconds:
   * it drains, or its data centre is evacuated. Undefined while it may get requests.
   */
  retiredSince({ id, dataCentre }: Endpoint): number | undefined {
    const times = [this.drainingSince.get(id), this.evacuatedSince.get(dataCentre)];
    const known = times.filter((time) => time !== undefined);
    return known.length > 0 ? Math.min(...known) : undefined;
  }

  /** Returns the times of the departures since the last call, in milliseconds by endpoint id. */
  takeDepartures(): ReadonlyMap<string, number> {
    const departures = new Map(this.departedAt);
    this.departedAt.clear();
    return departures;
  }

  /** Returns the versions of a model that operators named; undefined if there are none. */
  namedVersions(model: string): NamedVersions | undefined {
    return this.namedVersionsByModel.get(model);
  }

  /** Newest named version of each model. */
  get newestVersions(): ReadonlyMap<string, number> {
    return new Map([...this.namedVersionsByModel].map(([model, { newest }]) => [model, newest]));
  }

  /** Applies a change that was made at `changedAt` or later, in milliseconds. */
  apply(
    change: FleetChange,
    changedAt: number,
    { unseenSince = changedAt, suspendedMs = 0, unseenMs = 0 }: Partial<ChangeTimes> = {},
  ): void {
    const handler = handlers[change.kind] as Handler;
    handler(this, change, { changedAt, unseenSince, suspendedMs, unseenMs });
  }

  /** Applies several changes and calls `onChange` at most once, after the last one. */
  applyBatch(apply: () => void): void {
    const batch = { isChanged: false };
    this.batch = batch;
    try {
      apply();
    } finally {
      this.batch = undefined;
      if (batch.isChanged) this.onChange();
    }
  }

  /** Returns the removals of everything that a complete snapshot of the store no longer contains. */
  getRemovals(changes: readonly FleetChange[]): FleetChange[] {
    const ids = new Set<string>();
    const dataCentres = new Set<string>();
    const names = new Set<string>();
    const quarantines = new Set<string>();
    changes.forEach((change) => {
      if (change.kind === 'endpoint') ids.add(change.id);
      if (change.kind === 'evacuation') dataCentres.add(change.dataCentre);
      if (change.kind === 'entry') names.add(change.name);
      if (change.kind === 'quarantine') quarantines.add(change.key);
    });
    const endpoints = [...this.endpointsById.keys()]
      .filter((id) => !ids.has(id))
      .map((id) => ({ kind: 'endpoint', id, endpoint: undefined }) as const);
    const evacuations = [...this.evacuatedSince.keys()]
      .filter((dataCentre) => !dataCentres.has(dataCentre))
      .map((dataCentre) => ({ kind: 'evacuation', dataCentre, isActive: false }) as const);
    const entries = [...this.locationsByEntry.keys()]
      .filter((name) => !names.has(name))
      .map((name) => ({ kind: 'entry', name, location: undefined }) as const);
    const lostQuarantines = [...this.quarantineKeys]
      .filter((key) => !quarantines.has(key))
      .map((key) => ({ kind: 'quarantine', key, stored: undefined }) as const);
    return [...endpoints, ...evacuations, ...entries, ...lostQuarantines];
  }

  /** Whether a change takes back a drain or an evacuation that is in force. */
  isReversal(change: FleetChange): boolean {
    if (change.kind === 'evacuation')
      return !change.isActive && this.isEvacuated(change.dataCentre);
    if (change.kind !== 'endpoint' || !change.endpoint) return false;
    const known = this.endpointsById.get(change.id);
    const { isDraining, startedAt } = change.endpoint;
    return known !== undefined && known.isDraining && !isDraining && known.startedAt === startedAt;
  }

  setConfiguration(table: RouteTable): void {
    const { version } = table.configuration;
    const known = this.routeTable?.configuration.version ?? -1;
    if (version <= known) return;
    this.routeTable = table;
    this.metrics.gauge('configuration_version', version);
    this.log.info('Configuration in force.', { version, before: known });
    this.notifyChange();
  }

  setEndpoint(endpoint: Endpoint, changedAt: number): void {
    const known = this.endpointsById.get(endpoint.id);
    this.endpointsById.set(endpoint.id, endpoint);
    const { id, service, dataCentre, isDraining, layers } = endpoint;
    if (!isDraining) this.drainingSince.delete(id);
    else if (!known?.isDraining || known.startedAt !== endpoint.startedAt)
      this.drainingSince.set(id, changedAt);
    this.log.info('Endpoint registered.', {
      endpoint: id,
      service,
      dataCentre,
      isDraining,
      version: layers?.version ?? 0,
      layers: layers ? layers.to - layers.from : 0,
      isNew: known === undefined || known.startedAt !== endpoint.startedAt,
    });
    this.notifyChange();
  }

  removeEndpoint(id: string, changedAt: number): void {
    if (!this.endpointsById.delete(id)) return;
    this.departedAt.set(id, changedAt);
    this.drainingSince.delete(id);
    this.log.info('Endpoint gone.', { endpoint: id });
    this.notifyChange();
  }

  setEvacuation(dataCentre: string, isActive: boolean, changedAt: number): void {
    if (isActive === this.evacuatedSince.has(dataCentre)) return;
    if (isActive) this.evacuatedSince.set(dataCentre, changedAt);
    else this.evacuatedSince.delete(dataCentre);
    this.log.info(isActive ? 'Data centre evacuated.' : 'Data centre no longer evacuated.', {
      dataCentre,
    });
    this.notifyChange();
  }

  addNamedVersion(
    model: string,
    version: number,
    { changedAt, unseenSince, suspendedMs, unseenMs }: ChangeTimes,
  ): void {
    const named = this.namedVersionsByModel.get(model) ?? new NamedVersions();
    const isNewest = version > named.newest;
    const add = (added: number, at: number): void =>
      named.add(added, at, { monotonicAt: at - suspendedMs, unseenMs });
    // Versions between the known one and this one may have been named and replaced.
    if (version - 1 > named.newest) add(version - 1, unseenSince);
    // An earlier date of a known version counts too.
    add(version, changedAt);
    this.namedVersionsByModel.set(model, named);
    if (!isNewest) return;
    this.log.info('Version named.', { model, version });
    this.notifyChange();
  }

  setEntry(name: string, location: EntryLocation | undefined): void {
    const known = this.locationsByEntry.get(name);
    if (known) this.adjustEntryCount(known.dataCentre, -1);
    if (location) this.adjustEntryCount(location.dataCentre, 1);
    if (location === undefined) this.locationsByEntry.delete(name);
    else this.locationsByEntry.set(name, location);
    this.entryChanges += 1;
    this.metrics.gauge('entries', this.locationsByEntry.size);
  }

  applyCrashChange(change: CrashChange): void {
    this.onCrashChange(change);
  }

  setQuarantine(change: Extract<FleetChange, { kind: 'quarantine' }>): void {
    if (change.stored) this.quarantineKeys.add(change.key);
    else this.quarantineKeys.delete(change.key);
    this.onCrashChange(change);
  }

  private adjustEntryCount(dataCentre: string, change: number): void {
    this.entriesByDataCentre.set(
      dataCentre,
      (this.entriesByDataCentre.get(dataCentre) ?? 0) + change,
    );
  }

  private notifyChange(): void {
    if (this.batch) this.batch.isChanged = true;
    else this.onChange();
  }
}
