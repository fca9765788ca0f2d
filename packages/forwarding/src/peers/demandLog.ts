import type { Clock, Log } from '@laburnumstream/common';
import type { ServiceDemandState } from './serviceDemandState.js';

/** Minimum change of a part that is logged. */
const minChange = 0.1;
/** Minimum time between two lines on the same part, in milliseconds. */
const minIntervalMs = 1_000;
/** Factor that rounds parts to two decimals. */
const roundingFactor = 100;

interface LoggedPart {
  readonly part: number;
  readonly at: number;
}

/** Logs changes of reserves and of the division of room, at most one line each per second. */
export class DemandLog {
  private readonly logged = new Map<string, LoggedPart>();

  constructor(
    private readonly region: string,
    private readonly clock: Clock,
    private readonly log: Log,
  ) {}

  /** Logs what has changed for a service. */
  record(service: string, state: ServiceDemandState): void {
    const now = this.clock.now();
    state.reserve(this.region).all.forEach((part, priority) => {
      if (!this.isChange(`${service} reserve ${priority}`, part, now)) return;
      this.log.info('Reserve for more urgent requests changed.', {
        service,
        priority,
        part: DemandLog.round(part),
        served: DemandLog.round(state.served),
        counts: state.counts,
      });
    });
    const division = state.division(this.region).value;
    division?.remote.forEach((part, region) => {
      if (!this.isChange(`${service} room ${region}`, part, now)) return;
      const fields = { service, region, part: DemandLog.round(part) };
      this.log.info('Part of the free room for another region changed.', {
        ...fields,
        owed: DemandLog.round(division.owed),
      });
    });
  }

  private isChange(key: string, part: number, now: number): boolean {
    const last = this.logged.get(key) ?? { part: 0, at: -Infinity };
    const isReset = part === 0 && last.part > 0;
    if (Math.abs(part - last.part) < minChange && !isReset) return false;
    if (now - last.at < minIntervalMs) return false;
    this.logged.set(key, { part, at: now });
    return true;
  }

  private static round(part: number): number {
    return Math.round(part * roundingFactor) / roundingFactor;
  }
}
