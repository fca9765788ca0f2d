import type { Clock } from '@laburnumstream/common';
import { PeerLoads } from '@laburnumstream/decisions';
import type { PeerLoad } from '@laburnumstream/decisions';
import { toDatagramNumber } from '@laburnumstream/links';
import type { DatagramContent, FleetDatagrams } from '@laburnumstream/links';
import type { EntryLoad } from '@laburnumstream/protocol';
import type { EndpointDirectory } from '../endpoints/endpointDirectory.js';
import type { EndpointHandle } from '../endpoints/endpointHandle.js';
import type { EntryPeers } from './entryPeers.js';
import { WeightLossReports } from './weightLossReports.js';

type Share = NonNullable<Extract<DatagramContent, { case: 'load' }>['value']['shares']>[number];

/** Time in which changes are batched, for each group of peers, in milliseconds. */
const batchMsPerGroup = 5;
const peersPerGroup = 4;

/** Whether a response of the engine has shown that it holds no weights, and no report has said otherwise. */
function lacksWeights({ reportedVersion, missingWeightsSince }: EndpointHandle): boolean {
  return reportedVersion === 0 && missingWeightsSince !== undefined;
}

/**
 * Broadcasts this entry's load at the region's engines to the other entries of the region and receives
 * theirs. Reports of the engines are too old to keep entries from filling the same slots.
 */
export class LoadBroadcast {
  private timer: NodeJS.Timeout | undefined;

  private readonly weightLosses = new WeightLossReports();

  /** Loads of the other entries by engine, for as long as it is registered. */
  private readonly peerLoads = new WeakMap<EndpointHandle, PeerLoads>();

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

  /** Requests of this entry and of those of its region at an engine of the region. */
  countRequests(handle: EndpointHandle): number {
    const others = this.peerLoads.get(handle)?.requests(this.clock.now()) ?? 0;
    return handle.load.ownRequests + others;
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
      .filter((handle) => LoadBroadcast.hasState(handle))
      .map((handle) => LoadBroadcast.createShare(handle));
    this.datagrams.sendAll({ case: 'load', value: { shares } }, regionHosts);
  }

  /** Applies the load that another entry has sent. */
  receive({ shares }: EntryLoad, sender: string): void {
    const now = this.clock.now();
    const reported = new Map(shares.map((share) => [share.address, share]));
    const { engines } = this;
    engines.forEach((handle) => {
      const share = reported.get(handle.endpoint.address);
      const { requests = 0, unreadMs = 0, heldTokens = 0, window } = share ?? {};
      const load: PeerLoad = { requests, unreadMs, heldTokens, window };
      handle.load.updatePeer(sender, load, now);
      const peerLoads = this.peerLoads.get(handle) ?? new PeerLoads();
      peerLoads.update(sender, load, now);
      this.peerLoads.set(handle, peerLoads);
    });
    const empty = engines.filter(
      ({ endpoint }) => reported.get(endpoint.address)?.lacksWeights ?? false,
    );
    this.weightLosses
      .receive(sender, empty, now)
      .forEach((handle) => this.directory.recordMisdirection(handle, false));
  }

  /**
   * Applies the version that an agent reports, as its engine answered it at `answeredAt`. An answer from before
   * a response showed that the engine holds no weights says nothing of it.
   */
  applyVersion(handle: EndpointHandle, version: number, answeredAt: number): void {
    if (answeredAt < this.weightLosses.lostAt(handle)) return;
    Object.assign(handle, { reportedVersion: version, missingWeightsSince: undefined });
  }

  /** Whether this entry has state of an engine to share; a window counts even without requests there. */
  private static hasState(handle: EndpointHandle): boolean {
    const { ownRequests, window } = handle.load;
    return ownRequests > 0 || window.value !== undefined || lacksWeights(handle);
  }

  private static createShare(handle: EndpointHandle): Share {
    const { requests, unreadMs, heldTokens = 0, window } = handle.load.ownLoad;
    const share = {
      address: handle.endpoint.address,
      requests,
      unreadMs: toDatagramNumber(unreadMs),
      heldTokens: toDatagramNumber(heldTokens),
      lacksWeights: lacksWeights(handle),
    };
    return window === undefined ? share : { ...share, window: toDatagramNumber(window) };
  }

  /** Entries tell each other their loads at the engines of their own region. */
  private static isShared({ model, isLocal }: EndpointHandle): boolean {
    return model !== undefined && isLocal;
  }

  private get engines(): EndpointHandle[] {
    return [...this.directory.all].filter((handle) => LoadBroadcast.isShared(handle));
  }
}
