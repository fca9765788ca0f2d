import { ServiceOutlook } from '@laburnumstream/decisions';
import type { ExpectedCapacity } from '@laburnumstream/decisions';
import type { EndpointSource } from '../endpoints/endpointSource.js';
import type { PlacementRequest } from './placementRequest.js';
import type { WaitFacts } from './stagePolicy.js';

type ServedRequest = Pick<PlacementRequest, 'service' | 'eligibility'>;

/** Estimates when requests that wait are going to be sent. */
export class WaitEstimates {
  private readonly outlooks = new Map<string, ServiceOutlook>();

  /** Expected capacities at `cachedAt`, by service and home regions. */
  private readonly capacities = new Map<string, readonly ExpectedCapacity[]>();

  private cachedAt = -Infinity;

  constructor(
    private readonly directory: EndpointSource,
    private readonly isAdaptive: (service: string) => boolean,
  ) {}

  /** Returns what is known of the waits for a service. */
  getOutlook(service: string): ServiceOutlook {
    let outlook = this.outlooks.get(service);
    if (!outlook) {
      outlook = new ServiceOutlook();
      this.outlooks.set(service, outlook);
    }
    return outlook;
  }

  /** Returns when endpoints are expected to serve a request. */
  expectCapacities(request: ServedRequest, now: number): readonly ExpectedCapacity[] {
    if (now !== this.cachedAt) this.capacities.clear();
    this.cachedAt = now;
    const { service, eligibility } = request;
    if (eligibility.tried.size > 0) return this.findCapacities(request);
    const key = [service, ...eligibility.homeRegions.map((homes) => homes.join())].join(';');
    let known = this.capacities.get(key);
    if (!known) {
      known = this.findCapacities(request);
      this.capacities.set(key, known);
    }
    return known;
  }

  /** Returns what is expected of the wait of a request that has `ahead` others before it. */
  createFacts(
    request: PlacementRequest,
    now: number,
    startAt: number,
    countAhead: () => number,
  ): WaitFacts {
    const { service, eligibility, arrivedAt, waitsPastGoal = false } = request;
    const outlook = this.getOutlook(service);
    return {
      now,
      startAt,
      canServe: (latestAt) => this.directory.canServe(service, eligibility, latestAt),
      isOut: () => outlook.isOut(this.expectCapacities(request, now), now),
      recoveryTurnAt: () => outlook.turnAt(this.expectCapacities(request, now), countAhead(), now),
      mayBeLate: () => waitsPastGoal || outlook.wasOutSince(arrivedAt) || this.isAdaptive(service),
      lateTurnAt: () => outlook.lateTurnAt(this.expectCapacities(request, now), countAhead(), now),
    };
  }

  private findCapacities({ service, eligibility }: ServedRequest): readonly ExpectedCapacity[] {
    // Where admission is not adaptive, a pause is waited for by those only that can still meet their goal then.
    return this.directory.expectCapacity?.(service, eligibility, this.isAdaptive(service)) ?? [];
  }
}
