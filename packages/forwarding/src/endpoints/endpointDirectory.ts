import type {
  Clock,
  Endpoint,
  FleetSettings,
  Log,
  Metrics,
  Random,
  ServiceProfile,
} from '@laburnumstream/common';
import {
  EndpointStatements,
  NotifierSelection,
  countSenders,
  isVersionEligible,
} from '@laburnumstream/decisions';
import type { CapacitySharers, ExpectedCapacity } from '@laburnumstream/decisions';
import { CapacityForecast } from './capacityForecast.js';
import { ColdSharing } from './coldSharing.js';
import type { Eligibility } from './eligibility.js';
import { EndpointCapacity } from './endpointCapacity.js';
import { EndpointHandle } from './endpointHandle.js';
import type { EndpointSource, ServiceStatements } from './endpointSource.js';
import { EndpointState } from './endpointState.js';
import { MisdirectedEndpoints } from './misdirectedEndpoints.js';
import { FormerHealth } from './formerHealth.js';
import type { FleetState } from '../fleet/fleetState.js';
import type { EntryCounts } from '../fleet/entryCounts.js';
import { StartBounds } from './startBounds.js';

/** Share of an engine's slots up to which a request starts at once, whatever other entries send meanwhile. */
const freeSlotShare = 0.75;

function isHome(homeRegions: Eligibility['homeRegions'], region: string): boolean {
  return homeRegions.every((homes) => homes.length === 0 || homes.includes(region));
}

/** The registered endpoints by id, address and service. */
export class EndpointDirectory implements EndpointSource {
  private readonly handles = new Map<string, EndpointHandle>();

  private readonly byService = new Map<string, EndpointHandle[]>();

  private readonly byAddress = new Map<string, EndpointHandle>();

  /** Selects the entries that may send to an endpoint that has named a limit. */
  private readonly senders: NotifierSelection;

  /** Revision of the registered entries from which `senders` was built. */
  private sendersRevision = -1;

  /** What endpoints have said of themselves, also those that are not registered now. */
  readonly statements: EndpointStatements;

  /** Until when requests that were sent to an endpoint may start there. */
  readonly startBounds: StartBounds;

  private readonly capacity: EndpointCapacity;

  private readonly misdirected: MisdirectedEndpoints;

  private readonly forecast = new CapacityForecast();

  private readonly formerHealth = new FormerHealth();

  constructor(
    private readonly settings: FleetSettings,
    private readonly state: FleetState,
    private readonly clock: Clock,
    private readonly metrics: Metrics,
    private readonly random: Random,
    private readonly entryCounts: EntryCounts,
    /** Runs during a suspension too, as the time of a version does. */
    versionClock: Pick<Clock, 'now'>,
    log?: Log,
    /** Whether adaptive admission applies to a service. */
    private readonly isAdaptive: (service: string) => boolean = () => false,
  ) {
    this.startBounds = new StartBounds(settings, state, clock, versionClock);
    this.senders = new NotifierSelection(settings.instance);
    this.statements = new EndpointStatements(random.next());
    this.misdirected = new MisdirectedEndpoints(metrics, log);
    const coldSharing = new ColdSharing(settings, state);
    this.capacity = new EndpointCapacity(this.statements, entryCounts, coldSharing);
  }

  get all(): Iterable<EndpointHandle> {
    return this.handles.values();
  }

  get(id: string): EndpointHandle | undefined {
    return this.handles.get(id);
  }

  /** Returns the endpoint of an incarnation; undefined if it is not registered, or as another one. */
  findIncarnation(incarnation: string): EndpointHandle | undefined {
    const handle = this.handles.get(incarnation.slice(0, incarnation.lastIndexOf('@')));
    return handle?.incarnation === incarnation ? handle : undefined;
  }

  /** Returns the endpoint at an IP:PORT address. */
  findByAddress(address: string): EndpointHandle | undefined {
    return this.byAddress.get(address);
  }

  /** Updates the endpoints after a change of the fleet state. */
  refresh(): void {
    const { endpoints, routes } = this.state;
    const services = routes?.configuration.services;
    const departures = this.state.takeDepartures();
    this.handles.forEach((handle, id) => {
      const endpoint = endpoints.get(id);
      if (
        endpoint?.startedAt === handle.endpoint.startedAt &&
        endpoint.address === handle.endpoint.address
      )
        return;
      handle.pool.closeIdle();
      handle.retire(departures.get(id) ?? this.clock.now());
      this.handles.delete(id);
      this.formerHealth.keep(id, handle.health);
    });
    endpoints.forEach((endpoint) => this.addOrUpdate(endpoint, services?.get(endpoint.service)));
    this.formerHealth.prune(this.clock.now());
    this.forecast.retain(new Set([...this.handles.values()].map((each) => each.incarnation)));
    this.byService.clear();
    this.byAddress.clear();
    this.handles.forEach((handle) => {
      this.startBounds.updateRetirement(handle);
      this.byAddress.set(handle.endpoint.address, handle);
      const list = this.byService.get(handle.endpoint.service) ?? [];
      list.push(handle);
      this.byService.set(handle.endpoint.service, list);
    });
  }

  /** Returns the endpoints of a service. */
  forService(service: string): readonly EndpointHandle[] {
    return this.byService.get(service) ?? [];
  }

  /** Returns those of some endpoints, by default all of a service, that can get a request now. */
  available(
    service: string,
    eligibility: Eligibility,
    among: readonly EndpointHandle[] = this.forService(service),
  ): EndpointHandle[] {
    const now = this.clock.now();
    this.misdirected.releaseDue((incarnation) => this.findIncarnation(incarnation), now);
    return among.filter(
      (handle) =>
        this.isRegistered(handle) &&
        this.isEligible(handle, eligibility, now) &&
        this.hasCapacity(handle, now),
    );
  }

  /** Whether a request that was placed on an endpoint may be written now, after its connection was established. */
  maySend(handle: EndpointHandle): boolean {
    const now = this.clock.now();
    return (
      this.isRegistered(handle) &&
      this.statements.allows(handle.incarnation, now) &&
      !handle.endpoint.isDraining &&
      !this.state.isEvacuated(handle.endpoint.dataCentre) &&
      !this.misdirected.isExcluded(handle, now) &&
      this.hasUsableWeights(handle, now, true)
    );
  }

  /** Whether an endpoint runs, as far as is known. */
  isRunning(handle: EndpointHandle): boolean {
    return handle.isAnswering && (this.isRegistered(handle) || !handle.isLost);
  }

  /** Finds out whether endpoints that are no longer registered are lost. */
  async checkLosses(handles: readonly EndpointHandle[]): Promise<void> {
    const unregistered = handles.filter((handle) => !this.isRegistered(handle));
    await Promise.all(unregistered.map((handle) => handle.checkLoss()));
  }

  /** Whether an endpoint is still registered; requests may outlive its registration. */
  private isRegistered(handle: EndpointHandle): boolean {
    return this.handles.get(handle.id) === handle;
  }

  /**
   * Whether any endpoint of a service could serve a request if it had free capacity. An endpoint that
   * pauses can if its pause ends by `by`, by default now.
   */
  canServe(service: string, eligibility: Eligibility, by = this.clock.now()): boolean {
    const now = this.clock.now();
    this.misdirected.releaseDue((incarnation) => this.findIncarnation(incarnation), now);
    return this.forService(service).some(
      (handle) =>
        this.isEligible(handle, eligibility, now) &&
        this.statements.pauseEndsAt(handle.incarnation) <= Math.max(now, by),
    );
  }

  /**
   * Records that a response has shown that another endpoint has the address of this one, or that it holds no weights.
   * It gets no request until its agent reports or it is registered anew.
   */
  recordMisdirection(handle: EndpointHandle, isOwn = true): void {
    this.misdirected.record(handle, this.clock.now(), isOwn);
  }

  /** Returns when the endpoints of a service are expected to serve, for requests of an eligibility. */
  expectCapacity(
    service: string,
    { homeRegions, tried }: Eligibility,
    withPauses: boolean,
  ): readonly ExpectedCapacity[] {
    const now = this.clock.now();
    const entries = Math.max(1, this.state.entryCount);
    const { linkBitsPerSecond } = this.settings;
    return this.forService(service).flatMap((handle) => {
      const { id, incarnation, region } = handle;
      const state = this.getState(handle);
      const mayServe =
        !tried.has(id) &&
        isHome(homeRegions, region) &&
        this.isSender(handle, now) &&
        (withPauses || state !== EndpointState.paused);
      const pauseEndsAt = this.statements.pauseEndsAt(incarnation);
      const facts = { entries, linkBitsPerSecond, pauseEndsAt };
      const expected = mayServe ? this.forecast.expect(handle, state, facts, now) : undefined;
      return expected ? [expected] : [];
    });
  }

  /** Returns what the endpoints of a service have said, for requests of an eligibility. */
  summarizeStatements(service: string, { homeRegions }: Eligibility): ServiceStatements {
    const now = this.clock.now();
    const eligibility = { homeRegions, tried: new Set<string>() };
    const all = this.forService(service).map(({ incarnation }) => incarnation);
    const pauses = this.forService(service)
      .filter((handle) => this.isEligible(handle, eligibility, now))
      .map(({ incarnation }) => this.statements.pauseEndsAt(incarnation) - now);
    return {
      leaving: all.filter((incarnation) => this.statements.isLeaving(incarnation)).length,
      paused: all.filter((incarnation) => this.statements.pauseEndsAt(incarnation) > now).length,
      pauseLeftMs: pauses.length > 0 ? Math.max(0, Math.min(...pauses)) : 0,
    };
  }

  countLimited(service: string): number {
    const now = this.clock.now();
    return this.forService(service).filter((handle) => !this.isWithinLimit(handle, now)).length;
  }

  /** Returns whether an endpoint can get a request now, or the reason why not. */
  getState(handle: EndpointHandle): EndpointState {
    const now = this.clock.now();
    const { endpoint } = handle;
    if (this.statements.isLeaving(handle.incarnation)) return EndpointState.leaving;
    if (endpoint.isDraining) return EndpointState.draining;
    if (this.state.isEvacuated(endpoint.dataCentre)) return EndpointState.evacuated;
    if (!handle.isAnswering) return EndpointState.silent;
    if (handle.isSwitching) return EndpointState.switching;
    if (this.misdirected.has(handle, now)) return EndpointState.misdirected;
    if (handle.model && handle.version === undefined) return EndpointState.empty;
    if (!this.hasUsableWeights(handle, now)) return EndpointState.outdated;
    if (!this.statements.allows(handle.incarnation, now)) return EndpointState.paused;
    if (!EndpointCapacity.isHealthy(handle, now)) return EndpointState.resting;
    if (!this.isWithinLimit(handle, now)) return EndpointState.limited;
    return this.hasCapacity(handle, now) ? EndpointState.free : EndpointState.full;
  }

  /** Counts a request that has been placed on an endpoint against limits of the endpoint's rate. */
  recordPlacement(handle: EndpointHandle): void {
    const now = this.clock.now();
    handle.namedLimit.recordSend(now);
    this.statements.recordPlacement(handle.incarnation, now);
    this.capacity.recordPlacement(handle, now);
    this.misdirected.recordPlacement(handle, now);
  }

  /** Returns the entries that share the capacity of the endpoints of a region. */
  getCapacitySharers(region: string): CapacitySharers {
    const { regions, region: ownRegion } = this.settings;
    const isInRegion = (dataCentre: string): boolean => regions.get(dataCentre) === region;
    const isLocal = region === ownRegion;
    const local = Math.max(isLocal ? 1 : 0, this.state.countEntries(isInRegion));
    const remote = Math.max(isLocal ? 0 : 1, this.state.entryCount - local);
    return { local, remote, isLocal };
  }

  /** Number of other entries that fill the endpoints of a region: those of the region, or all others if it has none. */
  private countPeers(region: string): number {
    const { local, remote, isLocal } = this.getCapacitySharers(region);
    if (isLocal) return local - 1;
    return local > 0 ? local : remote - 1;
  }

  private addOrUpdate(endpoint: Endpoint, profile: ServiceProfile | undefined): void {
    const known = this.handles.get(endpoint.id);
    if (known) {
      this.misdirected.applyRegistration(known, endpoint, this.clock.now());
      // The remaining time of a cold start counts from the registration, not from each change of the fleet.
      if (known.endpoint !== endpoint) this.extendColdStart(known, endpoint);
      known.endpoint = endpoint;
      known.updateProfile(profile);
      known.adapt(this.isAdaptive(endpoint.service));
      return;
    }
    const region = this.settings.regions.get(endpoint.dataCentre) ?? '';
    const isLocal = region === this.settings.region;
    const { clock, metrics } = this;
    const peers = (): number => this.countPeers(region);
    const phase = this.random.next();
    const handle = new EndpointHandle(
      endpoint,
      profile,
      isLocal,
      region,
      clock,
      metrics,
      peers,
      phase,
      this.formerHealth.restore(endpoint.id, clock.now()),
    );
    handle.adapt(this.isAdaptive(endpoint.service));
    this.extendColdStart(handle, endpoint);
    this.misdirected.recordRegistration(handle, clock.now());
    this.handles.set(endpoint.id, handle);
  }

  private extendColdStart(handle: EndpointHandle, { coldRemainingMs }: Endpoint): void {
    if (coldRemainingMs <= 0) return;
    Object.assign(handle, {
      coldUntil: Math.max(handle.coldUntil, this.clock.now() + coldRemainingMs),
    });
  }

  private isEligible(
    handle: EndpointHandle,
    { homeRegions, tried, needsProof = false }: Eligibility,
    now: number,
  ): boolean {
    const { endpoint, region } = handle;
    return (
      !endpoint.isDraining &&
      !this.statements.isLeaving(handle.incarnation) &&
      !handle.isSwitching &&
      handle.isAnswering &&
      this.isSender(handle, now) &&
      !tried.has(endpoint.id) &&
      !this.misdirected.has(handle, now) &&
      (!needsProof || MisdirectedEndpoints.isProven(handle, now)) &&
      !this.state.isEvacuated(endpoint.dataCentre) &&
      isHome(homeRegions, region) &&
      this.hasUsableWeights(handle, now)
    );
  }

  /** Whether this entry may send to an endpoint, which may have named a limit. */
  private isSender({ namedLimit, endpoint }: EndpointHandle, now: number): boolean {
    const perSecond = namedLimit.perSecond(now);
    if (perSecond === undefined) return true;
    const { entriesRevision, entryLocations } = this.state;
    if (entriesRevision !== this.sendersRevision) {
      this.sendersRevision = entriesRevision;
      this.senders.setEntries([...entryLocations.keys()]);
    }
    return this.senders.isSelected(endpoint.id, countSenders(perSecond));
  }

  /** Whether the limit that an endpoint may have named leaves room for a request of this entry. */
  private isWithinLimit(handle: EndpointHandle, now: number): boolean {
    return (
      this.isSender(handle, now) && handle.namedLimit.allows(this.entryCounts.forConnections, now)
    );
  }

  /** Plain services need no weights; an engine must hold all layers of a version that is still in use. */
  private hasUsableWeights(
    handle: EndpointHandle,
    now: number,
    startsAtOnce = handle.load.outstanding(now) < handle.slots * freeSlotShare,
  ): boolean {
    if (!handle.model) return true;
    if (handle.version === undefined || handle.profile?.engine?.models[0] === undefined)
      return false;
    return isVersionEligible({
      outdatedMs: this.startBounds.outdatedMs(handle),
      graceMs: this.startBounds.versionGraceMs,
      reportAgeMs: handle.load.reportAgeMs(now),
      startsAtOnce,
    });
  }

  private hasCapacity(handle: EndpointHandle, now: number): boolean {
    return (
      EndpointCapacity.isHealthy(handle, now) &&
      this.isWithinLimit(handle, now) &&
      this.capacity.hasRoom(handle, now)
    );
  }
}
