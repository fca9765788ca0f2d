import type { Instance } from '@laburnumstream/common';
import { createClient } from '@laburnumstream/links';
import type { LinkPool } from '@laburnumstream/links';
import { EntryService } from '@laburnumstream/protocol';
import type { ConfigurationPeers, PeerAnswer } from './configurationPeers.js';

const timeoutMs = 1_000;

/** Calls other entries over links. */
export class LinkedPeers implements ConfigurationPeers {
  constructor(
    private readonly links: LinkPool,
    private readonly self: { readonly name: string; readonly address: string },
  ) {}

  async sync(peer: Instance, revision: number, signal: AbortSignal): Promise<PeerAnswer> {
    const client = createClient(EntryService, this.links.transportTo(peer.address));
    const request = { configurationRevision: BigInt(revision) };
    const answer = await client.sync(request, { signal, timeoutMs });
    return {
      revision: Number(answer.configurationRevision),
      changeId: answer.changeId,
      document: answer.document,
      silenceMs: answer.storeSilenceMs,
    };
  }

  async announce(peer: Instance, revision: number, signal: AbortSignal): Promise<void> {
    const client = createClient(EntryService, this.links.transportTo(peer.address));
    const request = { configurationRevision: BigInt(revision), ...this.self };
    await client.announce(request, { signal, timeoutMs });
  }
}
