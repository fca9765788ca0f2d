import type { Instance } from '@laburnumstream/common';

/** A peer's response to a sync call. */
export interface SyncResult {
  readonly revision: number;
  readonly changeId: string;
  /** The document in JSON; empty when the caller is up to date. */
  readonly document: string;
  /** Time since the peer last reached the store, in milliseconds. */
  readonly storeSilenceMs: number;
}

/** Calls to other entries about the configuration. */
export interface ConfigurationPeers {
  /** Requests the peer's document if it is newer than the given revision. */
  sync(peer: Instance, revision: number, signal: AbortSignal): Promise<SyncResult>;
  /** Announces a revision to a peer. */
  announce(peer: Instance, revision: number, signal: AbortSignal): Promise<void>;
}
