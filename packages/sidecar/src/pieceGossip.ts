import type { Clock } from '@laburnumstream/common';
import { PeerRotation } from '@laburnumstream/decisions';
import type { FleetDatagrams } from '@laburnumstream/links';
import type { PieceNews } from '@laburnumstream/protocol';
import type { FleetView } from './fleetView.js';
import type { Uplink } from './uplink.js';
import type { VersionFetch } from './versionFetch.js';
import type { VersionCache } from './versionCache.js';

/** Time between two rounds of messages during a transfer, in milliseconds. */
const gossipIntervalMs = 100;
/** Maximum number of members of the own region that receive messages in one round. */
const maxRegionalPeers = 12;

/** The transfer whose pieces are announced. */
export type AnnouncedFetch = Pick<
  VersionFetch,
  'held' | 'remoteReceivers' | 'remoteSources' | 'updateHeldPieces'
>;

/** Exchanges with other agents which pieces each of them holds. */
export class PieceGossip {
  private fetch: AnnouncedFetch | undefined;

  private readonly regionalPeers: PeerRotation;

  constructor(
    private readonly view: Pick<FleetView, 'members' | 'self' | 'model'>,
    private readonly versions: Pick<VersionCache, 'get'>,
    private readonly uplink: Pick<Uplink, 'activeTransfers'>,
    private readonly datagrams: Pick<FleetDatagrams, 'send'>,
    private readonly clock: Clock,
  ) {
    this.regionalPeers = new PeerRotation(view.self.name, maxRegionalPeers);
  }

  /** Exchanges messages during a transfer, until the signal fires. */
  async run(fetch: AnnouncedFetch, signal: AbortSignal): Promise<void> {
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
    const isDue = message.wantsAnswer && this.versions.get(message.version) !== undefined;
    if (isDue && !this.sendsRegularly(message.version, host))
      this.send(host, message.version, false);
  }

  /** Whether a member gets messages about a version in the rounds of a transfer, and so needs no answers. */
  private sendsRegularly(version: number, host: string): boolean {
    return this.fetch?.held.version === version && this.regionalNames.includes(host);
  }

  private get regionalNames(): string[] {
    const { members, self } = this.view;
    return members.filter(({ region }) => region === self.region).map(({ name }) => name);
  }

  private sendToPeers(): void {
    const { fetch } = this;
    if (!fetch) return;
    const { version } = fetch.held;
    this.regionalPeers.next(this.regionalNames).forEach((name) => this.send(name, version, true));
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
