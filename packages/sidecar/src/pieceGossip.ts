import type { Clock } from '@laburnumstream/common';
import type { FleetDatagrams } from '@laburnumstream/links';
import type { PieceNews } from '@laburnumstream/protocol';
import type { FleetView } from './fleetView.js';
import type { Uplink } from './uplink.js';
import type { VersionFetch } from './versionFetch.js';
import type { VersionCache } from './versionCache.js';

/** Time between two rounds of messages during a transfer, in milliseconds. */
const gossipIntervalMs = 100;
/** Maximum number of members of the own region that receive messages: the first ones in the list. */
const maxRegionalPeers = 24;

/** Exchanges with other agents which pieces each of them holds. */
export class PieceGossip {
  private fetch: VersionFetch | undefined;

  constructor(
    private readonly view: FleetView,
    private readonly versions: VersionCache,
    private readonly uplink: Uplink,
    private readonly datagrams: FleetDatagrams,
    private readonly clock: Clock,
  ) {}

  /** Exchanges messages during a transfer, until the signal fires. */
  async run(fetch: VersionFetch, signal: AbortSignal): Promise<void> {
    this.fetch = fetch;
    while (!signal.aborted) {
      this.sendToPeers();
      await this.clock.sleep(gossipIntervalMs, signal).catch(() => undefined);
    }
    // Announces the final state, usually a complete version.
    this.sendToPeers();
    this.fetch = undefined;
  }

  /** Announces a received piece to the members of other regions that wait for it. */
  announcePiece(piece: number): void {
    const { fetch } = this;
    if (!fetch) return;
    fetch.remoteReceivers(piece).forEach(({ name }) => this.send(name, fetch.held.version, false));
  }

  /** Handles a message in which another agent lists its pieces. */
  receive(message: PieceNews, host: string): void {
    const { fetch } = this;
    if (
      fetch &&
      message.version === fetch.held.version &&
      message.model === fetch.held.manifest.model
    ) {
      fetch.updateHeldPieces(host, message.held, message.giving);
    }
    if (message.wantsAnswer && this.versions.get(message.version))
      this.send(host, message.version, false);
  }

  private sendToPeers(): void {
    const { fetch, view } = this;
    if (!fetch) return;
    const { version } = fetch.held;
    const regional = view.members.filter(
      ({ name, region }) => region === view.self.region && name !== view.self.name,
    );
    regional.slice(0, maxRegionalPeers).forEach(({ name }) => this.send(name, version, true));
    fetch.remoteSources().forEach(({ name }) => this.send(name, version, true));
  }

  private send(host: string, version: number, wantsAnswer: boolean): void {
    const held = this.versions.get(version);
    const value = {
      model: this.view.model,
      version,
      held: held?.bitmap() ?? new Uint8Array(),
      wantsAnswer,
      giving: this.uplink.activeTransfers,
    };
    this.datagrams.send({ case: 'pieces', value }, host);
  }
}
