/** Load that another entry puts on an endpoint. */
export interface PeerLoad {
  readonly requests: number;
  /** Prefill time of its unprocessed prompts, in milliseconds. */
  readonly unreadMs: number;
  /** Tokens of its key-value cache that they hold and may still need. */
  readonly heldTokens?: number | undefined;
  /** Concurrent requests that the endpoint can take as the entry has found; undefined without a limit. */
  readonly window?: number | undefined;
}

interface ReceivedLoad extends PeerLoad {
  /** Monotonic time of receipt, in milliseconds. */
  readonly at: number;
}

/** Age at which a load no longer counts, in milliseconds. */
const staleMs = 2_500;

/**
 * Loads that the other entries of a region put on one endpoint. The sums are maintained on each update
 * and expiry: a routing decision reads them for every endpoint, so a read must not scan all entries.
 */
export class PeerLoads {
  /** Loads by entry name, oldest first. */
  private readonly loads = new Map<string, ReceivedLoad>();

  private requestSum = 0;

  private unreadMsSum = 0;

  update(name: string, { requests, unreadMs }: PeerLoad, now: number): void {
    this.remove(name);
    this.loads.set(name, { requests, unreadMs, at: now });
    this.requestSum += requests;
    this.unreadMsSum += unreadMs;
  }

  /** Number of entries with a current load. */
  count(now: number): number {
    this.expire(now);
    return this.loads.size;
  }

  /** Requests of these entries at the endpoint. */
  requests(now: number): number {
    this.expire(now);
    return this.requestSum;
  }

  /** Prefill time of their unprocessed prompts, in milliseconds. */
  unreadMs(now: number): number {
    this.expire(now);
    return this.unreadMsSum;
  }

  private expire(now: number): void {
    for (const [name, { at }] of this.loads) {
      if (now - at < staleMs) return;
      this.remove(name);
    }
  }

  private remove(name: string): void {
    const known = this.loads.get(name);
    if (!known) return;
    this.loads.delete(name);
    this.requestSum -= known.requests;
    this.unreadMsSum = this.loads.size === 0 ? 0 : this.unreadMsSum - known.unreadMs;
  }
}
