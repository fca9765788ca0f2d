import type { Clock, FleetSettings } from '@laburnumstream/common';
import type { FleetDatagrams } from '@laburnumstream/links';
import type { EntryLoad } from '@laburnumstream/protocol';
import type { EndpointDirectory } from './endpointDirectory.js';
import type { EndpointHandle } from './endpointHandle.js';
import type { FleetState } from './fleetState.js';

/** Time in which changes are collected for each group of peers that is told, in milliseconds. */
const collectMs = 5;
const groupPeers = 4;

/**
 * Tells the other entries of the region what this one has at the region's engines, and learns what
 * they have there: reports of the engines are too old to keep entries from filling the same slots.
 */
export class LoadSharing {
  private timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly settings: FleetSettings,
    private readonly state: FleetState,
    private readonly directory: EndpointDirectory,
    private readonly datagrams: FleetDatagrams,
    private readonly clock: Clock,
  ) {}

  /** Tells soon, with the changes that come until then; the rate does not grow with the peers. */
  tellSoon(): void {
    if (this.timer) return;
    const groups = Math.max(1, Math.ceil(this.peers.length / groupPeers));
    this.timer = setTimeout(() => {
      this.timer = undefined;
      this.tell();
    }, collectMs * groups);
  }

  tell(): void {
    const { peers } = this;
    if (peers.length === 0) return;
    const shares = this.engines
      .filter(({ load }) => load.ownRequests > 0)
      .map(({ endpoint, load }) => {
        const { requests, unreadMs } = load.ownLoad;
        return { address: endpoint.address, requests, unreadMs: Math.round(unreadMs) };
      });
    this.datagrams.sendAll({ case: 'load', value: { shares } }, peers);
  }

  /** Another entry told its load. */
  take({ shares }: EntryLoad, sender: string): void {
    const now = this.clock.now();
    const told = new Map(shares.map((share) => [share.address, share]));
    this.engines.forEach(({ endpoint, load }) => {
      const { requests = 0, unreadMs = 0 } = told.get(endpoint.address) ?? {};
      load.updatePeer(sender, { requests, unreadMs }, now);
    });
  }

  /** Addresses of the other entries of this region. */
  private get peers(): string[] {
    const { instance, region, regions } = this.settings;
    return [...this.state.places]
      .filter(([name, { dataCentre }]) => name !== instance && regions.get(dataCentre) === region)
      .map(([, { host }]) => host);
  }

  private get engines(): EndpointHandle[] {
    return [...this.directory.all].filter(({ model, isLocal: isNear }) => model && isNear);
  }
}
