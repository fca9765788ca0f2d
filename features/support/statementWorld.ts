import type { World } from '@cucumber/cucumber';
import type { CrashFleet } from './crashFleet.js';
import type { PlatformFleet } from './platformFleet.js';
import type { StatementTraffic, TrafficTarget } from './statementTraffic.js';
import type { StatingEndpoint } from './statingEndpoint.js';

/** State of a scenario about statements of endpoints. */
export interface StatementWorld extends World {
  statedFleet: PlatformFleet;
  crashFleet: CrashFleet;
  endpoints: readonly StatingEndpoint[];
  traffic: StatementTraffic;
  /** Monotonic time from which arrivals count, in milliseconds. */
  countedFrom: number;
  /** Monotonic time at which all pauses are over, in milliseconds. */
  pausedUntil: number;
  targets: readonly TrafficTarget[];
}

/** Returns the endpoint that scenarios call the first. */
export function first({ endpoints }: StatementWorld): StatingEndpoint {
  return endpoints[0]!;
}
