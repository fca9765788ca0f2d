import type { Clock, Instance, InstanceList, Log, Random } from '@laburnumstream/common';
import { InstanceRole, toFailure } from '@laburnumstream/common';

/** Time between reads while the list has never been read, in milliseconds. */
const initialIntervalMs = 200;
/** Share of the interval by which reads vary, so that a fleet does not read at once. */
const intervalJitter = 0.5;

/**
 * A copy of the platform's lagging list, refreshed in the background. The last one read stays in
 * force while the platform is out of reach.
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

  /** Agents beside the endpoints of a service. */
  getAgents(service: string): readonly Instance[] {
    return this.agents.filter((instance) => instance.service === service);
  }

  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      try {
        this.current = await this.list.list(signal);
      } catch (error) {
        this.log.warn('The list of instances is out of reach.', { type: toFailure(error).type });
      }
      await this.clock.sleep(this.nextDelayMs(), signal).catch(() => undefined);
    }
  }

  /** Reads are spread over time; at first they are frequent, as nothing is known yet. */
  private nextDelayMs(): number {
    if (this.entries.length === 0) return Math.min(initialIntervalMs, this.intervalMs);
    return this.intervalMs * (1 - intervalJitter / 2 + this.random.next() * intervalJitter);
  }
}
