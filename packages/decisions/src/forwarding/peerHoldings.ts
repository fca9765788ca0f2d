import type { PeerWindow } from './concurrencyWindow.js';

/** What another entry reports of an endpoint beside its load. */
export interface PeerHolding extends PeerWindow {
  readonly requests: number;
  /** Tokens that its requests hold and may still need; undefined if it does not report them. */
  readonly heldTokens: number | undefined;
}

interface ReceivedHolding extends PeerHolding {
  /** Monotonic time of receipt, in milliseconds. */
  readonly at: number;
}

/** Age at which a report no longer counts, in milliseconds; the same as that of loads. */
const staleMs = 2_500;

/**
 * What the other entries of a region report of one endpoint: the windows, and the tokens that they hold there. The sums
 * are maintained on each update and expiry, as they are read for each placement.
 */
export class PeerHoldings {
  /** By entry name, oldest first. */
  private readonly holdings = new Map<string, ReceivedHolding>();

  private tokenSum = 0;

  /** Requests of entries that do not report how many tokens they hold. */
  private unsizedRequests = 0;

  /** Records a report of an entry; returns its previous one, undefined if there is none. */
  update(name: string, holding: PeerHolding, now: number): PeerHolding | undefined {
    this.expire(now);
    const before = this.remove(name);
    this.holdings.set(name, { ...holding, at: now });
    this.add(holding, 1);
    return before;
  }

  /** Tokens that these entries hold; one that does not report them counts with `typicalTokens` a request. */
  heldTokens(typicalTokens: number, now: number): number {
    this.expire(now);
    return this.tokenSum + this.unsizedRequests * typicalTokens;
  }

  private expire(now: number): void {
    for (const [name, { at }] of this.holdings) {
      if (now - at < staleMs) return;
      this.remove(name);
    }
  }

  private remove(name: string): PeerHolding | undefined {
    const known = this.holdings.get(name);
    if (!known) return undefined;
    this.holdings.delete(name);
    this.add(known, -1);
    return known;
  }

  private add({ requests, heldTokens }: PeerHolding, sign: 1 | -1): void {
    if (heldTokens === undefined) this.unsizedRequests += sign * requests;
    else this.tokenSum += sign * heldTokens;
  }
}
