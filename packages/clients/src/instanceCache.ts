import type { Clock, Instance, InstanceList, Log, Random } from '@laburnumstream/common';
import { InstanceRole, toFailure } from '@laburnumstream/common';

/** Refresh interval until the list contains an entry, in milliseconds. */
const initialIntervalMs = 200;
/** Jitter as a share of the interval, so that the instances of a fleet do not refresh at the same time. */
const intervalJitter = 0.5;

/**
 * A cache of the platform's instance list, refreshed in the background. The last list remains in use
 * while the platform is unreachable.
 */
export class InstanceCache {
  private current: readonly Instance[] = [];

  constructor(
    private readonly list: InstanceList,
    private readonly clock: Clock,
    private readonly intervalMs: number,
    private readonly log: Log,
    private readonly random: Random,
  ) {}

  get entries(): readonly Instance[] {
    return this.current.filter(({ role }) => role === InstanceRole.entry);
  }

  get agents(): readonly Instance[] {
    return this.current.filter(({ role }) => role === InstanceRole.agent);
  }

  /** Returns the agents of a service's endpoints. */
  getAgents(service: string): readonly Instance[] {
    return this.agents.filter((instance) => instance.service === service);
  }

  /** Refreshes the list until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      try {
        this.current = await this.list.list(signal);
      } catch (error) {
        this.log.warn('The instance list is unreachable.', { type: toFailure(error).type });
      }
      await this.clock.sleep(this.nextDelayMs(), signal).catch(() => undefined);
    }
  }

  /** Applies jitter to the interval; refreshes frequently while no entry is known. */
  private nextDelayMs(): number {
    if (this.entries.length === 0) return Math.min(initialIntervalMs, this.intervalMs);
    return this.intervalMs * (1 - intervalJitter / 2 + this.random.next() * intervalJitter);
  }
}
