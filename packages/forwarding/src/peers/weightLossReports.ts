import type { EndpointHandle } from '../endpoints/endpointHandle.js';

/** Time without a load of a sender after which its reports are forgotten, in milliseconds. */
const forgetMs = 5_000;

/** What one entry has last said of engines without weights. */
interface SenderReports {
  /** Monotonic times of the first of the uninterrupted reports on each engine, by address. */
  readonly since: ReadonlyMap<string, number>;
  readonly at: number;
}

/** What other entries have seen of engines that hold no weights, until the agents say otherwise. */
export class WeightLossReports {
  private readonly senders = new Map<string, SenderReports>();

  /** Monotonic times of the last reports that were applied, in milliseconds. */
  private readonly appliedAt = new WeakMap<EndpointHandle, number>();

  /**
   * Returns those of the engines that a sender lists of which nothing newer is known; it repeats them for as long as it
   * knows no better.
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
      // A repetition is out of date if the agent has reported since it was said first.
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
