import type { PeerWindow } from './concurrencyWindow.js';

/** What another entry says of an endpoint beside its load. */
export interface PeerHolding extends PeerWindow {
  readonly requests: number;
  /** Tokens that its requests hold and may still need; undefined if it does not say. */
  readonly heldTokens: number | undefined;
}

interface ReceivedHolding extends PeerHolding {
  /** Monotonic time of receipt, in milliseconds. */
  readonly at: number;
}

/** Age at which a report no longer counts, in milliseconds; the same as that of loads. */
const staleMs = 2_500;

/** What the other entries of a region say of one endpoint: the windows, and the tokens that they hold there. */
export class PeerHoldings {
  /** By entry name, oldest first. */
  private readonly holdings = new Map<string, ReceivedHolding>();

  /** Records what an entry says; returns what it said before, undefined if that is not known. */
  update(name: string, holding: PeerHolding, now: number): PeerHolding | undefined {
    this.expire(now);
    const before = this.holdings.get(name);
    this.holdings.delete(name);
    this.holdings.set(name, { ...holding, at: now });
    return before;
  }

  /** Tokens that these entries hold; one that does not say counts with `typicalTokens` for each request. */
  heldTokens(typicalTokens: number, now: number): number {
    this.expire(now);
    let sum = 0;
    this.holdings.forEach(({ requests, heldTokens }) => {
      sum += heldTokens ?? requests * typicalTokens;
    });
    return sum;
  }

  private expire(now: number): void {
    for (const [name, { at }] of this.holdings) {
      if (now - at < staleMs) return;
      this.holdings.delete(name);
    }
  }
}
