import type { Clock, Endpoint, FleetSettings } from '@laburnumstream/common';
import { combineOutdated, mayStartOnVersion } from '@laburnumstream/decisions';
import type { EndpointHandle } from './endpointHandle.js';
import type { FleetState } from '../fleet/fleetState.js';

/** Time in which a withdrawn request is off its way to its endpoint, in milliseconds. */
const withdrawalMs = 250;
/** Time without a sign of life after which an endpoint may stand still, in milliseconds. */
const standstillMs = 700;

/** Until when requests that were sent to an endpoint may start there. */
export class StartBounds {
  constructor(
    private readonly settings: FleetSettings,
    private readonly state: FleetState,
    private readonly clock: Clock,
    /** Runs during a suspension too, as the time of a version does. */
    private readonly versionClock: Pick<Clock, 'now'>,
  ) {}

  /** Time after which no request may start on an outdated version, in milliseconds. */
  get versionGraceMs(): number {
    return this.settings.bounds.versionMs;
  }

  /**
   * Time since a version of an endpoint's weights, by default the one that it serves, is outdated, in
   * milliseconds; negative infinity while it is not.
   */
  outdatedMs(handle: EndpointHandle, version = handle.version): number {
    const { profile } = handle;
    const model = profile?.engine?.models[0]?.name;
    if (version === undefined || model === undefined) return -Infinity;
    const own = this.state.namedVersions(model)?.outdatedDate(version);
    return this.versionClock.now() - combineOutdated(own, handle.reportedOutdatedAt(version));
  }

  /** Records since when a version is outdated as an endpoint's agent reports it, by default that it does not. */
  recordOutdated(handle: EndpointHandle, version: number, msAgo = -Infinity): void {
    handle.recordOutdated(version, this.versionClock.now() - msAgo);
  }

  /** Whether a time is set from which no request may start at an endpoint. */
  hasBound(handle: EndpointHandle): boolean {
    return handle.retiredAt !== undefined || this.outdatedMs(handle) >= 0;
  }

  /** Whether requests that wait at an endpoint may still start there. */
  mayStart(handle: EndpointHandle): boolean {
    const { versionGraceMs: graceMs } = this;
    if (this.mayStandStill(handle)) return false;
    return mayStartOnVersion({ outdatedMs: this.outdatedMs(handle), graceMs });
  }

  /** Records whether a registered endpoint is to get no requests any more. */
  updateRetirement(handle: EndpointHandle): void {
    const retiredAt = this.state.retiredSince(handle.endpoint);
    if (retiredAt === undefined) handle.resume();
    else handle.retire(retiredAt);
  }

  /**
   * Whether an endpoint that is to get no requests may stand still, so that those that were sent reach it as it
   * wakes. A live one has received them already.
   */
  private mayStandStill({ retiredAt, lastSignOfLifeAt, endpoint }: EndpointHandle): boolean {
    if (retiredAt === undefined) return false;
    const now = this.clock.now();
    const isOver = now - retiredAt >= this.getRetirementMs(endpoint) - withdrawalMs;
    return isOver && now - lastSignOfLifeAt > standstillMs;
  }

  /** Time that a retired endpoint has, in milliseconds; one that also drains or has left has the shorter one. */
  private getRetirementMs({ id, startedAt, dataCentre, isDraining }: Endpoint): number {
    const { drainMs, evacuationMs } = this.settings.bounds;
    if (!this.state.isEvacuated(dataCentre)) return drainMs;
    const hasLeft = this.state.endpoints.get(id)?.startedAt !== startedAt;
    return isDraining || hasLeft ? Math.min(drainMs, evacuationMs) : evacuationMs;
  }
}
