/** What another entry has at an endpoint. */
export interface PeerLoad {
  readonly requests: number;
  /** Time for its prompts that are not read yet, in milliseconds. */
  readonly unreadMs: number;
}

/** The last that was heard of another entry's load. */
interface HeardPeer extends PeerLoad {
  /** Monotonic time, in milliseconds. */
  readonly at: number;
}

/** Age after which what another entry told of its load says nothing any more, in milliseconds. */
const staleMs = 2_500;

/**
 * What the other entries of a region told of their loads at one endpoint, with sums that are kept as
 * loads come and lapse: a decision reads them for each endpoint, so its cost must not grow with entries.
 */
export class PeerLoads {
  /** Loads by the entries' names, the oldest first. */
  private readonly heard = new Map<string, HeardPeer>();

  private requestSum = 0;

  private unreadMsSum = 0;

  /** An entry told its load. */
  update(name: string, { requests, unreadMs }: PeerLoad, now: number): void {
    this.forget(name);
    this.heard.set(name, { requests, unreadMs, at: now });
    this.requestSum += requests;
    this.unreadMsSum += unreadMs;
  }

  /** Entries that told their load lately. */
  count(now: number): number {
    this.lapse(now);
    return this.heard.size;
  }

  /** Requests that they have at the endpoint. */
  requests(now: number): number {
    this.lapse(now);
    return this.requestSum;
  }

  /** Time for their prompts that are not read yet, in milliseconds. */
  unreadMs(now: number): number {
    this.lapse(now);
    return this.unreadMsSum;
  }

  /** Forgets what is too old. */
  private lapse(now: number): void {
    for (const [name, { at }] of this.heard) {
      if (now - at < staleMs) return;
      this.forget(name);
    }
  }

  private forget(name: string): void {
    const known = this.heard.get(name);
    if (!known) return;
    this.heard.delete(name);
    this.requestSum -= known.requests;
    this.unreadMsSum = this.heard.size === 0 ? 0 : this.unreadMsSum - known.unreadMs;
  }
}
