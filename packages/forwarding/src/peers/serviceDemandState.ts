import {
  DemandSums,
  DemandWindow,
  PriorityFloor,
  PriorityReserve,
  SmoothedDivision,
} from '@laburnumstream/decisions';
import type { PriorityCounts } from '@laburnumstream/decisions';

/** What is known of the demand on one service, and what follows from it. */
export class ServiceDemandState {
  /** Results of this entry's own requests. */
  readonly window = new DemandWindow();

  readonly sums = new DemandSums();

  readonly floor = new PriorityFloor();

  /** Results of the requests of all entries of the region. */
  counts: readonly PriorityCounts[] = [];

  /** Part of these requests that is served. */
  served = 1;

  private readonly reserves = new Map<string, PriorityReserve>();

  private readonly divisions = new Map<string, SmoothedDivision>();

  /** The reserve that follows from the demand of a region. */
  reserve(region: string): PriorityReserve {
    let reserve = this.reserves.get(region);
    if (!reserve) {
      reserve = new PriorityReserve();
      this.reserves.set(region, reserve);
    }
    return reserve;
  }

  /** How the room at the endpoints of a region is divided. */
  division(region: string): SmoothedDivision {
    let division = this.divisions.get(region);
    if (!division) {
      division = new SmoothedDivision();
      this.divisions.set(region, division);
    }
    return division;
  }
}
