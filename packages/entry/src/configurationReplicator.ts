import { Timeout, toFailure } from '@laburnumstream/common';
import type { Clock, Instance, Log, Metrics, Random } from '@laburnumstream/common';
import { GossipTopology } from '@laburnumstream/decisions';
import { DocumentSource } from './configurationReplica.js';
import type { ConfigurationReplica } from './configurationReplica.js';
import type { ConfigurationPeers } from './configurationPeers.js';
import type { ConfigurationWatcher } from './configurationWatcher.js';

const roundIntervalMs = 1_000;
/** Time between sync rounds of an entry that has no configuration yet. */
const uninitializedRoundIntervalMs = 200;
/** Time for which a peer that did not respond is skipped. */
const suspectMs = 8_000;
/** Time beyond the duration of a watch after which the store counts as silent. */
const silenceGraceMs = 2_000;
/** Maximum number of levels of unresponsive peers that an announcement skips in its tree. */
const maxSkippedLevels = 3;

/**
 * Replicates the configuration between entries: some watch the store, all compare revisions with a
 * few peers in each round, and new revisions are announced along a tree.
 */
export class ConfigurationReplicator {
  private readonly topology: GossipTopology;

  private watchAbort: AbortController | undefined;

  /** Highest announced revision that is being fetched or was fetched from a peer. */
  private pulledRevision = 0;

  constructor(
    self: Instance,
    private readonly replica: ConfigurationReplica,
    private readonly watcher: ConfigurationWatcher,
    private readonly peers: ConfigurationPeers,
    private readonly entries: () => readonly Instance[],
    private readonly clock: Clock,
    private readonly random: Random,
    watchMs: number,
    private readonly metrics: Metrics,
    private readonly log: Log,
  ) {
    const timeouts = { suspectMs, silenceMs: watchMs + silenceGraceMs };
    this.topology = new GossipTopology(self, timeouts, random, clock.now());
  }

  /** Whether this entry watches the store. */
  get isWatching(): boolean {
    return this.watchAbort !== undefined;
  }

  /** Time since this entry last reached the store, in milliseconds. */
  get storeSilenceMs(): number {
    return this.topology.silenceMs(this.clock.now());
  }

  /** Runs sync rounds until the signal fires. */
  async run(signal: AbortSignal): Promise<void> {
    this.replica.onAdoption((revision, source) => {
      void this.announce(revision, source, signal);
    });
    while (!signal.aborted) {
      this.topology.setMembers(this.entries());
      this.updateWatch(signal);
      const isUninitialized = this.replica.configuration.revision === 0;
      this.syncWithPeers(isUninitialized, signal);
      const pauseMs =
        (isUninitialized ? uninitializedRoundIntervalMs : roundIntervalMs) *
        (0.8 + 0.4 * this.random.next());
      await this.clock.sleep(pauseMs, signal).catch(() => undefined);
    }
  }

  /** Fetches the document from a peer that announced a revision newer than the one in force. */
  async handleAnnouncement(sender: Instance, revision: number, signal: AbortSignal): Promise<void> {
    if (revision <= Math.max(this.replica.configuration.revision, this.pulledRevision)) return;
    this.pulledRevision = revision;
    const isSynced = await this.syncWith(sender, signal);
    if (!isSynced && this.pulledRevision === revision) this.pulledRevision = 0;
  }

  /** Asks several peers at once for a newer configuration; resolves with the first response. */
  async refresh(signal: AbortSignal): Promise<void> {
    this.topology.setMembers(this.entries());
    const syncs = this.resolvePeers(this.topology.selectPeers(true, this.clock.now())).map(
      async (peer) => {
        if (!(await this.syncWith(peer, signal))) throw new Timeout(`${peer.name} did not answer.`);
      },
    );
    await Promise.any(syncs).catch(() => undefined);
  }

  private resolvePeers(members: readonly { readonly name: string }[]): Instance[] {
    const known = this.entries();
    return members.flatMap(({ name }) => known.find((entry) => entry.name === name) ?? []);
  }

  private updateWatch(signal: AbortSignal): void {
    const shouldWatch = this.topology.shouldWatch(this.clock.now());
    if (shouldWatch === this.isWatching) return;
    this.metrics.gauge('configuration_watching', shouldWatch ? 1 : 0);
    this.watchAbort?.abort();
    this.watchAbort = undefined;
    if (!shouldWatch) return;
    this.watchAbort = new AbortController();
    const watchSignal = AbortSignal.any([signal, this.watchAbort.signal]);
    void this.watcher.run(() => this.topology.recordStoreContact(this.clock.now()), watchSignal);
    this.log.debug('Watching the store.');
  }

  private syncWithPeers(isUninitialized: boolean, signal: AbortSignal): void {
    const peers = this.resolvePeers(this.topology.selectPeers(isUninitialized, this.clock.now()));
    peers.forEach((peer) => void this.syncWith(peer, signal));
  }

  private async syncWith(peer: Instance, signal: AbortSignal): Promise<boolean> {
    try {
      const result = await this.peers.sync(peer, this.replica.configuration.revision, signal);
      this.topology.recordResponse(peer, result.storeSilenceMs, this.clock.now());
      if (result.document) this.replica.adopt(result.document, DocumentSource.peer);
      else this.replica.checkDivergence(result.revision, result.changeId);
      return true;
    } catch (error) {
      this.recordPeerFailure(peer, error);
      return false;
    }
  }

  private recordPeerFailure(peer: Instance, error: unknown): void {
    this.topology.recordFailure(peer, this.clock.now());
    this.metrics.count('configuration_peer_failed');
    this.log.debug('Configuration peer did not respond.', {
      peer: peer.name,
      type: toFailure(error).type,
    });
  }

  private async announce(
    revision: number,
    source: DocumentSource,
    signal: AbortSignal,
  ): Promise<void> {
    const recipients = this.topology.notifyTargets(revision, source === DocumentSource.store);
    await this.announceTo(recipients, revision, maxSkippedLevels, signal);
  }

  /** Announces a revision to peers; for an unresponsive one, to the peers below it in the tree. */
  private async announceTo(
    recipients: readonly { readonly name: string }[],
    revision: number,
    levelsToSkip: number,
    signal: AbortSignal,
  ): Promise<void> {
    await Promise.all(
      this.resolvePeers(recipients).map(async (peer) => {
        try {
          await this.peers.announce(peer, revision, signal);
        } catch (error) {
          if (signal.aborted) return;
          this.recordPeerFailure(peer, error);
          const children = this.topology.notifyTargetsOf(peer, revision);
          if (levelsToSkip > 0) await this.announceTo(children, revision, levelsToSkip - 1, signal);
        }
      }),
    );
  }
}
