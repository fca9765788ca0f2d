import type { EndpointHandle } from '../endpoints/endpointHandle.js';

/** Time without a load of a sender after which its reports are forgotten, in milliseconds. */
const forgetMs = 5_000;

/** The last report of one entry on engines without weights. */
interface SenderReports {
  /** Monotonic times of the first of the uninterrupted reports on each engine, by address. */
  readonly since: ReadonlyMap<string, number>;
  readonly at: number;
}

/** Reports of other entries on engines that hold no weights; a newer report of the agent overrides them. */
export class WeightLossReports {
  private readonly senders = new Map<string, SenderReports>();

  /** Monotonic times of the last reports that were applied, in milliseconds. */
  private readonly appliedAt = new WeakMap<EndpointHandle, number>();

  /**
   * Records the engines without weights that a sender lists, and returns those without a newer report of their agent.
   * A sender repeats an engine until it gets such a report itself.
   */
  receive(sender: string, engines: readonly EndpointHandle[], now: number): EndpointHandle[] {
    this.forgetSilent(now);
    const before = this.senders.get(sender)?.since;
    const since = new Map(
      engines.map(({ endpoint: { address } }) => [address, before?.get(address) ?? now]),
    );
    if (since.size > 0) this.senders.set(sender, { since, at: now });
    else this.senders.delete(sender);
    return engines.filter((handle) => {
      const firstAt = since.get(handle.endpoint.address)!;
      const reportedAt = now - handle.load.reportAgeMs(now);
      // A repetition is out of date if the agent has reported since the first one.
      if (firstAt !== now && reportedAt >= firstAt) return false;
      this.appliedAt.set(handle, firstAt);
      return true;
    });
  }

  /** Monotonic time since when an engine is known to hold no weights, here or elsewhere; -Infinity if never. */
  lostAt(handle: EndpointHandle): number {
    return Math.max(
      this.appliedAt.get(handle) ?? -Infinity,
      handle.missingWeightsSince ?? -Infinity,
    );
  }

  private forgetSilent(now: number): void {
    this.senders.forEach(({ at }, sender) => {
      if (now - at >= forgetMs) this.senders.delete(sender);
    });
  }
}
