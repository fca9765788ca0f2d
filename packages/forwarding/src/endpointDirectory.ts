import type {
  Clock,
  Endpoint,
  FleetSettings,
  Metrics,
  Random,
  ServiceProfile,
} from '@laburnumstream/common';
import { EndpointHealth, mayBeginOn } from '@laburnumstream/decisions';
import type { RoomSharers } from '@laburnumstream/decisions';
import type { EndpointChoice } from './dispatchLine.js';
import { EndpointHandle, roomLimits } from './endpointHandle.js';
import { EndpointState } from './endpointState.js';
import type { FleetState } from './fleetState.js';
import type { SharingEntries } from './sharingEntries.js';

/** What a request needs of an endpoint besides room. */
export interface Eligibility {
  /** Regions in which it may be served; empty for all. */
  readonly homeRegions: readonly (readonly string[])[];
  readonly tried: ReadonlySet<string>;
}

/** Part of an endpoint's connections that entries use together. */
const connectionShare = 0.9;

/** The endpoints that this entry may use, by service. */
export class EndpointDirectory implements EndpointChoice {
  private readonly handles = new Map<string, EndpointHandle>();

  private readonly byService = new Map<string, EndpointHandle[]>();

  private readonly byAddress = new Map<string, EndpointHandle>();

  /** How endpoints behaved that are gone, by their ids: some come back and fall again. */
  private readonly past = new Map<string, EndpointHealth>();

  constructor(
    private readonly settings: FleetSettings,
    private readonly state: FleetState,
    private readonly clock: Clock,
    private readonly metrics: Metrics,
    private readonly random: Random,
    /** Entries that share the bounds of endpoints. */
    private readonly sharing: SharingEntries,
  ) {}

  get all(): Iterable<EndpointHandle> {
    return this.handles.values();
  }

  get(id: string): EndpointHandle | undefined {
    return this.handles.get(id);
  }

  /** The endpoint at an IP:PORT address. */
  at(address: string): EndpointHandle | undefined {
    return this.byAddress.get(address);
  }

  /** Follows the state of the fleet after a change. */
  refresh(): void {
    const { endpoints, routes } = this.state;
    const services = routes?.configuration.services;
    this.handles.forEach((handle, id) => {
      const endpoint = endpoints.get(id);
      if (
        endpoint?.startedAt === handle.endpoint.startedAt &&
        endpoint.address === handle.endpoint.address
      )
        return;
      handle.pool.closeIdle();
      this.handles.delete(id);
      this.past.set(id, handle.health);
    });
    endpoints.forEach((endpoint) => this.take(endpoint, services?.get(endpoint.service)));
    this.forgetPast();
    this.byService.clear();
    this.byAddress.clear();
    this.handles.forEach((handle) => {
      this.byAddress.set(handle.endpoint.address, handle);
      const list = this.byService.get(handle.endpoint.service) ?? [];
      list.push(handle);
      this.byService.set(handle.endpoint.service, list);
    });
  }

  /** Endpoints of a service. */
  of(service: string): readonly EndpointHandle[] {
    return this.byService.get(service) ?? [];
  }

  /** Endpoints, by default all of a service, that may get a request now. */
  usable(
    service: string,
    eligibility: Eligibility,
    among: readonly EndpointHandle[] = this.of(service),
  ): EndpointHandle[] {
    const now = this.clock.now();
    return among.filter(
      (handle) =>
        this.isKnown(handle) &&
        this.mayServe(handle, eligibility, now) &&
        this.hasRoom(handle, now),
    );
  }

  /** Whether an endpoint has not left; its last requests may still run. */
  private isKnown(handle: EndpointHandle): boolean {
    return this.handles.get(handle.id) === handle;
  }

  /** Whether any endpoint of a service could serve a request, if it had room. */
  canServe(service: string, eligibility: Eligibility): boolean {
    const now = this.clock.now();
    return this.of(service).some((handle) => this.mayServe(handle, eligibility, now));
  }

  /** Why an endpoint gets no request now, or that it may get one. */
  stateOf(handle: EndpointHandle): EndpointState {
    const now = this.clock.now();
    const { endpoint } = handle;
    if (endpoint.isDraining) return EndpointState.draining;
    if (this.state.isEvacuated(endpoint.dataCentre)) return EndpointState.evacuated;
    if (!handle.isAnswering) return EndpointState.silent;
    if (handle.isSwitching) return EndpointState.switching;
    if (handle.model && handle.version === undefined) return EndpointState.empty;
    if (!this.hasWeights(handle, now)) return EndpointState.outdated;
    if (!EndpointDirectory.isSound(handle, now)) return EndpointState.resting;
    return this.hasRoom(handle, now) ? EndpointState.free : EndpointState.full;
  }

  /** A request is about to be sent. */
  countSend(handle: EndpointHandle): void {
    const now = this.clock.now();
    if (now < handle.coldUntil) handle.coldRate.take(this.coldShare(handle), now);
  }

  /** Entries that share the room of the endpoints of a region. */
  sharers(region: string): RoomSharers {
    const { regions, region: own } = this.settings;
    const isThere = (dataCentre: string): boolean => regions.get(dataCentre) === region;
    const isNear = region === own;
    const near = Math.max(isNear ? 1 : 0, this.state.entriesIn(isThere));
    const far = Math.max(isNear ? 0 : 1, this.state.entries - near);
    return { near, far, isNear };
  }

  private take(endpoint: Endpoint, profile: ServiceProfile | undefined): void {
    const known = this.handles.get(endpoint.id);
    if (known) {
      known.endpoint = endpoint;
      known.takeProfile(profile);
      this.takeCold(known, endpoint);
      return;
    }
    const region = this.settings.regions.get(endpoint.dataCentre) ?? '';
    const isNear = region === this.settings.region;
    const { clock, metrics } = this;
    const peers = (): number => Math.max(0, this.sharers(region).near - (isNear ? 1 : 0));
    const phase = this.random.next();
    const handle = new EndpointHandle(
      endpoint,
      profile,
      isNear,
      region,
      clock,
      metrics,
      peers,
      phase,
      this.takeHealth(endpoint.id),
    );
    this.takeCold(handle, endpoint);
    this.handles.set(endpoint.id, handle);
  }

  /** How an endpoint behaved that is new here: one that was here before was started anew. */
  private takeHealth(id: string): EndpointHealth {
    const health = this.past.get(id);
    if (!health) return new EndpointHealth();
    this.past.delete(id);
    health.restarted(this.clock.now());
    return health;
  }

  private forgetPast(): void {
    const now = this.clock.now();
    this.past.forEach((health, id) => {
      if (!health.hasFallen(now)) this.past.delete(id);
    });
  }

  private takeCold(handle: EndpointHandle, { coldRemainingMs: coldLeftMs }: Endpoint): void {
    if (coldLeftMs <= 0) return;
    Object.assign(handle, {
      coldUntil: Math.max(handle.coldUntil, this.clock.now() + coldLeftMs),
    });
  }

  private mayServe(
    handle: EndpointHandle,
    { homeRegions, tried }: Eligibility,
    now: number,
  ): boolean {
    const { endpoint, region } = handle;
    return (
      !endpoint.isDraining &&
      !handle.isSwitching &&
      handle.isAnswering &&
      !tried.has(endpoint.id) &&
      !this.state.isEvacuated(endpoint.dataCentre) &&
      homeRegions.every((homes) => homes.length === 0 || homes.includes(region)) &&
      this.hasWeights(handle, now)
    );
  }

  /** Plain services need no weights; an engine must have all layers of a version still in use. */
  private hasWeights(handle: EndpointHandle, now: number): boolean {
    if (!handle.model) return true;
    const { version, profile } = handle;
    const model = profile?.engine?.models[0]?.name;
    if (version === undefined || model === undefined) return false;
    const outdatedAt = this.state.namedVersions(model)?.outdatedAt(version) ?? Infinity;
    return mayBeginOn({
      outdatedMs: now - outdatedAt,
      graceMs: this.settings.bounds.versionMs,
      reportAgeMs: handle.load.reportAgeMs(now),
    });
  }

  /** Whether it has not failed or fallen silent lately. */
  private static isSound(handle: EndpointHandle, now: number): boolean {
    return handle.health.mayTry(handle.load.own, now) && !handle.isSilent(now);
  }

  private hasRoom(handle: EndpointHandle, now: number): boolean {
    if (!EndpointDirectory.isSound(handle, now)) return false;
    const entries = this.sharing.connecting;
    const { profile, pool, coldRate, coldUntil } = handle;
    const most = Math.max(
      1,
      Math.floor(((profile?.maxConnections ?? 0) * connectionShare) / entries),
    );
    if (!pool.hasRoom(most)) return false;
    if (handle.model && !handle.load.hasRoom({ ...roomLimits, slots: handle.slots }, now))
      return false;
    if (now >= coldUntil || !profile || profile.coldRequestsPerSecond <= 0) return true;
    return coldRate.fits(this.coldShare(handle), now);
  }

  /** Requests a second that this entry may send to an endpoint while it is cold. */
  private coldShare({ profile }: EndpointHandle): number {
    return (profile?.coldRequestsPerSecond ?? 0) / this.sharing.forColdEndpoints;
  }
}
