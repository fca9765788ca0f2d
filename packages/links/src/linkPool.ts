import type { Transport } from '@connectrpc/connect';
import type { Secrets } from './secrets.js';
import { openLink } from './transport.js';
import type { Link } from './transport.js';

/** Time after which a replaced link is closed, even if calls still run on it, in milliseconds. */
const retiredLinkTimeoutMs = 120_000;

interface PooledLink {
  readonly link: Link;
  readonly openedAt: number;
}

/** Keeps one link for each peer and replaces links that have reached their maximum age. */
export class LinkPool {
  private readonly links = new Map<string, PooledLink>();

  private readonly retiredLinks = new Map<Link, NodeJS.Timeout>();

  constructor(
    private readonly secrets: Secrets,
    private readonly maxAgeMs: number,
    private readonly now: () => number,
    signal: AbortSignal,
  ) {
    signal.addEventListener('abort', () => this.closeAll(), { once: true });
  }

  /** Returns the transport to a peer, opening a link if necessary. */
  transportTo(address: string): Transport {
    const pooled = this.links.get(address);
    if (pooled && this.now() - pooled.openedAt < this.maxAgeMs) return pooled.link.transport;
    this.replace(address);
    const link = openLink(address, this.secrets);
    this.links.set(address, { link, openedAt: this.now() });
    return link.transport;
  }

  /** Closes the link to an unresponsive peer, with all calls that run on it. */
  drop(address: string): void {
    this.links.get(address)?.link.close();
    this.links.delete(address);
  }

  /** Makes the next call open a new link; running calls continue on the current one. */
  replace(address: string): void {
    const pooled = this.links.get(address);
    this.links.delete(address);
    if (pooled) this.closeLater(pooled.link);
  }

  /** Closes a replaced link after a time in which its running calls can end. */
  private closeLater(link: Link): void {
    const timer = setTimeout(() => {
      this.retiredLinks.delete(link);
      link.close();
    }, retiredLinkTimeoutMs);
    timer.unref();
    this.retiredLinks.set(link, timer);
  }

  private closeAll(): void {
    [...this.links.keys()].forEach((address) => this.drop(address));
    this.retiredLinks.forEach((timer, link) => {
      clearTimeout(timer);
      link.close();
    });
    this.retiredLinks.clear();
  }
}
