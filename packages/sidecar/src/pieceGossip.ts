import type { Clock } from '@laburnumstream/common';
import type { FleetDatagrams } from '@laburnumstream/links';
import type { PieceNews } from '@laburnumstream/protocol';
import type { FleetView } from './fleetView.js';
import type { Uplink } from './uplink.js';
import type { VersionFetch } from './versionFetch.js';
import type { VersionShelf } from './versionShelf.js';

/** Time between two messages while a transfer runs, in milliseconds. */
const tellMs = 100;
/** Members of the own region that are told; a hash of the pair chooses them in large regions. */
const mostNear = 24;

/** Tells other agents which pieces are held here, and learns what they hold. */
export class PieceGossip {
  private fetch: VersionFetch | undefined;

  constructor(
    private readonly view: FleetView,
    private readonly shelf: VersionShelf,
    private readonly uplink: Uplink,
    private readonly datagrams: FleetDatagrams,
    private readonly clock: Clock,
  ) {}

  /** Tells and asks again and again while a transfer runs, until the signal fires. */
  async run(fetch: VersionFetch, signal: AbortSignal): Promise<void> {
    this.fetch = fetch;
    while (!signal.aborted) {
      this.tellNear();
      await this.clock.sleep(tellMs, signal).catch(() => undefined);
    }
    // The others learn that all is here now.
    this.tellNear();
    this.fetch = undefined;
  }

  /** A piece has come in: members of other regions may wait for it. */
  pieceCame(piece: number): void {
    const { fetch } = this;
    if (!fetch) return;
    fetch.waitingElsewhere(piece).forEach(({ name }) => this.tell(name, fetch.held.version, false));
  }

  /** Another agent told what it holds. */
  heard(news: PieceNews, host: string): void {
    const { fetch } = this;
    if (fetch && news.version === fetch.held.version && news.model === fetch.held.manifest.model) {
      fetch.learn(host, news.held, news.giving);
    }
    if (news.wantsAnswer && this.shelf.get(news.version)) this.tell(host, news.version, false);
  }

  private tellNear(): void {
    const { fetch, view } = this;
    if (!fetch) return;
    const { version } = fetch.held;
    const near = view.members.filter(
      ({ name, region }) => region === view.self.region && name !== view.self.name,
    );
    near.slice(0, mostNear).forEach(({ name }) => this.tell(name, version, true));
    fetch.askedElsewhere().forEach(({ name }) => this.tell(name, version, true));
  }

  private tell(host: string, version: number, wantsAnswer: boolean): void {
    const held = this.shelf.get(version);
    const value = {
      model: this.view.model,
      version,
      held: held?.bitmap() ?? new Uint8Array(),
      wantsAnswer,
      giving: this.uplink.running,
    };
    this.datagrams.send({ case: 'pieces', value }, host);
  }
}
