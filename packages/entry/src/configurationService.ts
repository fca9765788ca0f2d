import { InstanceRole, InstanceState } from '@laburnumstream/common';
import type { Clock, Instance, KeyValueStore, Log, Metrics, Random } from '@laburnumstream/common';
import type { LinkPool } from '@laburnumstream/links';
import type { AnnounceRequest, SyncRequest } from '@laburnumstream/protocol';
import type { EntrySettings } from '@laburnumstream/runtime';
import type { ConfigurationReplica } from './configurationReplica.js';
import { ConfigurationReplicator } from './configurationReplicator.js';
import { ConfigurationWatcher } from './configurationWatcher.js';
import { ConfigurationPeerClient } from './configurationPeerClient.js';

/** Dependencies of the configuration service. */
export interface ConfigurationDependencies {
  readonly settings: EntrySettings;
  readonly store: KeyValueStore;
  readonly links: LinkPool;
  readonly entries: () => readonly Instance[];
  readonly clock: Clock;
  readonly random: Random;
  readonly metrics: Metrics;
  readonly log: Log;
}

/** The instance record of this entry. */
function toSelfInstance({ instance: name, region, dataCentre, listen }: EntrySettings): Instance {
  const address = `http://${listen.internal}`;
  const { live: state } = InstanceState;
  return { name, role: InstanceRole.entry, region, dataCentre, address, state };
}

/** Replicates the configuration and serves other entries' calls about it. */
export class ConfigurationService {
  readonly replicator: ConfigurationReplicator;

  private readonly self: Instance;

  constructor(
    private readonly replica: ConfigurationReplica,
    { settings, store, links, entries, clock, random, metrics, log }: ConfigurationDependencies,
    private readonly signal: AbortSignal,
  ) {
    const { watchMs } = settings.options;
    const self = toSelfInstance(settings);
    this.self = self;
    this.replicator = new ConfigurationReplicator(
      self,
      replica,
      new ConfigurationWatcher(store, replica, clock, random, watchMs, metrics, log),
      new ConfigurationPeerClient(links, { name: self.name, address: self.address }),
      entries,
      clock,
      random,
      watchMs,
      metrics,
      log,
    );
  }

  /** Handles a peer's sync call: returns the document when it is newer than the peer's revision. */
  handleSync({ configurationRevision }: SyncRequest) {
    const { configuration, document } = this.replica;
    const { revision, changeId } = configuration;
    return {
      configurationRevision: BigInt(revision),
      document: revision > Number(configurationRevision) ? document : '',
      changeId,
      storeSilenceMs: Math.round(this.replicator.storeSilenceMs),
    };
  }

  /** Handles a peer's announcement of a revision. */
  handleAnnounce({ configurationRevision, name, address }: AnnounceRequest) {
    const sender = { ...this.self, name, address };
    void this.replicator.handleAnnouncement(sender, Number(configurationRevision), this.signal);
    return {};
  }
}
