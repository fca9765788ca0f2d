import type { Instance } from '@laburnumstream/common';
import { createClient } from '@laburnumstream/links';
import type { LinkPool } from '@laburnumstream/links';
import { EntryService } from '@laburnumstream/protocol';
import type { ConfigurationPeers, SyncResult } from './configurationPeers.js';

const timeoutMs = 1_000;

/** Calls other entries over pooled connections. */
export class ConfigurationPeerClient implements ConfigurationPeers {
  constructor(
    private readonly links: LinkPool,
    private readonly self: { readonly name: string; readonly address: string },
  ) {}

  async sync(peer: Instance, revision: number, signal: AbortSignal): Promise<SyncResult> {
    const client = createClient(EntryService, this.links.transportTo(peer.address));
    const request = { configurationRevision: BigInt(revision) };
    const response = await client.sync(request, { signal, timeoutMs });
    return {
      revision: Number(response.configurationRevision),
      changeId: response.changeId,
      document: response.document,
      storeSilenceMs: response.storeSilenceMs,
    };
  }

  async announce(peer: Instance, revision: number, signal: AbortSignal): Promise<void> {
    const client = createClient(EntryService, this.links.transportTo(peer.address));
    const request = { configurationRevision: BigInt(revision), ...this.self };
    await client.announce(request, { signal, timeoutMs });
  }
}
