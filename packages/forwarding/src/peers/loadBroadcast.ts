import type { Clock } from '@laburnumstream/common';
import { toDatagramNumber } from '@laburnumstream/links';
import type { FleetDatagrams } from '@laburnumstream/links';
import type { EntryLoad } from '@laburnumstream/protocol';
import type { EndpointDirectory } from '../endpoints/endpointDirectory.js';
import type { EndpointHandle } from '../endpoints/endpointHandle.js';
import type { EntryPeers } from './entryPeers.js';

/** Time in which changes are batched, for each group of peers, in milliseconds. */
const batchMsPerGroup = 5;
const peersPerGroup = 4;

/**
 * Broadcasts this entry's load at the region's engines to the other entries of the region and receives
 * theirs. Reports of the engines are too old to keep entries from filling the same slots.
 */
export class LoadBroadcast {
  private timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly peers: EntryPeers,
    private readonly directory: EndpointDirectory,
    private readonly datagrams: Pick<FleetDatagrams, 'sendAll'>,
    private readonly clock: Clock,
  ) {}

  /** Broadcasts a change of this entry's load at an endpoint soon, if entries share the loads there. */
  recordChange(handle: EndpointHandle): void {
    if (LoadBroadcast.isShared(handle)) this.schedule();
  }

  /**
   * Schedules a broadcast that batches further changes. The delay grows with the number of peers, so that
   * the rate of datagrams does not.
   */
  private schedule(): void {
    if (this.timer) return;
    const groups = Math.max(1, Math.ceil(this.peers.regionHosts.length / peersPerGroup));
    this.timer = setTimeout(() => {
      this.timer = undefined;
      this.send();
    }, batchMsPerGroup * groups);
  }

  /** Sends this entry's load to all peers. */
  send(): void {
    const { regionHosts } = this.peers;
    if (regionHosts.length === 0) return;
    const shares = this.engines
      .filter(({ load }) => load.ownRequests > 0)
      .map(({ endpoint, load }) => {
        const { requests, unreadMs } = load.ownLoad;
        return { address: endpoint.address, requests, unreadMs: toDatagramNumber(unreadMs) };
      });
    this.datagrams.sendAll({ case: 'load', value: { shares } }, regionHosts);
  }

  /** Applies the load that another entry has sent. */
  receive({ shares }: EntryLoad, sender: string): void {
    const now = this.clock.now();
    const reported = new Map(shares.map((share) => [share.address, share]));
    this.engines.forEach(({ endpoint, load }) => {
      const { requests = 0, unreadMs = 0 } = reported.get(endpoint.address) ?? {};
      load.updatePeer(sender, { requests, unreadMs }, now);
    });
  }

  /** Entries tell each other their loads at the engines of their own region. */
  private static isShared({ model, isLocal }: EndpointHandle): boolean {
    return model !== undefined && isLocal;
  }

  private get engines(): EndpointHandle[] {
    return [...this.directory.all].filter((handle) => LoadBroadcast.isShared(handle));
  }
}
