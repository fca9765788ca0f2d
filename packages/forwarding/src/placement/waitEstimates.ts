import { ServiceOutlook } from '@laburnumstream/decisions';
import type { EndpointSource } from '../endpoints/endpointSource.js';
import type { Candidate } from './candidate.js';
import type { DispatchPolicies } from './dispatchPolicies.js';
import { GroupEstimate } from './groupEstimate.js';
import type { WaitFacts } from './stagePolicy.js';

/** Estimates when requests that wait are going to be sent. */
export class WaitEstimates {
  private readonly outlooks = new Map<string, ServiceOutlook>();

  /** Estimates of `estimatedAt`, by service and group of requests. */
  private readonly estimates = new Map<string, GroupEstimate>();

  private estimatedAt = -Infinity;

  constructor(
    private readonly directory: EndpointSource,
    private readonly policies: Pick<DispatchPolicies, 'isAdaptive' | 'waitsForRecovery'>,
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

  /** Returns what is expected of the endpoints that may serve a request. */
  getEstimate(request: Candidate, now: number): GroupEstimate {
    if (now !== this.estimatedAt) this.estimates.clear();
    this.estimatedAt = now;
    const { service, group } = request;
    if (group === undefined) return this.createEstimate(request, now);
    const key = `${service};${group}`;
    let estimate = this.estimates.get(key);
    if (!estimate) {
      estimate = this.createEstimate(request, now);
      this.estimates.set(key, estimate);
    }
    return estimate;
  }

  /** Returns what is expected of the wait of a request that has `ahead` others before it. */
  createFacts(
    request: Candidate,
    now: number,
    startAt: number,
    countAhead: () => number,
  ): WaitFacts {
    const { service, arrivedAt, waitsPastGoal = false } = request;
    const outlook = this.getOutlook(service);
    const estimate = this.getEstimate(request, now);
    const waitsForRecovery = waitsPastGoal || this.policies.waitsForRecovery(service);
    return {
      now,
      startAt,
      canServe: (latestAt) => estimate.canServe(latestAt),
      isOut: () => waitsForRecovery && estimate.isOut,
      recoveryTurnAt: () => (waitsForRecovery ? estimate.schedule.turnAt(countAhead()) : Infinity),
      mayBeLate: () => waitsForRecovery,
      lateTurnAt: () => outlook.lateTurnAt(estimate.schedule, countAhead(), arrivedAt, now),
    };
  }

  private createEstimate(request: Candidate, now: number): GroupEstimate {
    const { service } = request;
    // Where admission is not adaptive, a pause is waited for by those only that can still meet their goal then.
    const withPauses = this.policies.isAdaptive(service);
    return new GroupEstimate(this.directory, request, this.getOutlook(service), withPauses, now);
  }
}
