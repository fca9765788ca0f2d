import { TurnSchedule } from '@laburnumstream/decisions';
import type { ExpectedCapacity, ServiceOutlook } from '@laburnumstream/decisions';
import type { EndpointSource } from '../endpoints/endpointSource.js';
import type { PlacementRequest } from './placementRequest.js';

/** What is expected, at one moment, of the endpoints that may serve some requests; computed when it is asked for. */
export class GroupEstimate {
  private expected: readonly ExpectedCapacity[] | undefined;

  private turns: TurnSchedule | undefined;

  /** Of the times that were checked, the latest by which no endpoint can serve and the earliest by which one can. */
  private readonly known = { cannotBy: -Infinity, canBy: Infinity };

  constructor(
    private readonly directory: EndpointSource,
    private readonly request: Pick<PlacementRequest, 'service' | 'eligibility'>,
    private readonly outlook: ServiceOutlook,
    private readonly withPauses: boolean,
    private readonly now: number,
  ) {}

  get capacities(): readonly ExpectedCapacity[] {
    const { service, eligibility } = this.request;
    this.expected ??= this.directory.expectCapacity?.(service, eligibility, this.withPauses) ?? [];
    return this.expected;
  }

  get schedule(): TurnSchedule {
    this.turns ??= new TurnSchedule(this.capacities, this.outlook.arrivalsPerMs(this.now));
    return this.turns;
  }

  /** Whether no endpoint serves now, though some are expected to. */
  get isOut(): boolean {
    return this.outlook.isOut(this.capacities, this.now);
  }

  /** Whether an endpoint could serve by a time if it had free capacity. */
  canServe(latestAt: number): boolean {
    const { known } = this;
    // Most often the answer is the same for all times.
    if (known.cannotBy === -Infinity && known.canBy === Infinity) {
      if (this.askDirectory(this.now)) known.canBy = -Infinity;
      else if (!this.askDirectory(Infinity)) known.cannotBy = Infinity;
    }
    if (latestAt >= known.canBy) return true;
    if (latestAt <= known.cannotBy) return false;
    const canServe = this.askDirectory(latestAt);
    if (canServe) known.canBy = latestAt;
    else known.cannotBy = latestAt;
    return canServe;
  }

  private askDirectory(latestAt: number): boolean {
    const { service, eligibility } = this.request;
    return this.directory.canServe(service, eligibility, latestAt);
  }
}
