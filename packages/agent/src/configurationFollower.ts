import type { Log } from '@laburnumstream/common';
import { emptyConfiguration, parseConfiguration } from '@laburnumstream/decisions';
import type { Configuration, Peer } from '@laburnumstream/decisions';
import { createClient } from '@laburnumstream/links';
import type { LinkPool } from '@laburnumstream/links';
import { EntryService } from '@laburnumstream/protocol';

const syncTimeoutMs = 2_000;

/** Fetches newer configurations from entries; never reverts to an older revision. */
export class ConfigurationFollower {
  private current: Configuration = emptyConfiguration;

  private syncing = false;

  constructor(
    private readonly links: LinkPool,
    private readonly onConfiguration: (configuration: Configuration) => void,
    private readonly log: Log,
  ) {}

  get configuration(): Configuration {
    return this.current;
  }

  /** Fetches the document from an entry if the entry's revision is newer than the current one. */
  async syncIfNewer(entry: Peer, revision: bigint, signal: AbortSignal): Promise<void> {
    if (this.syncing || Number(revision) <= this.current.revision) return;
    this.syncing = true;
    try {
      const client = createClient(EntryService, this.links.transportTo(entry.address));
      const request = { configurationRevision: BigInt(this.current.revision) };
      const options = { signal, timeoutMs: syncTimeoutMs };
      const { document } = await client.sync(request, options);
      if (document) this.apply(document);
    } finally {
      this.syncing = false;
    }
  }

  private apply(document: string): void {
    const configuration = parseConfiguration(document);
    if (configuration.revision <= this.current.revision) return;
    this.current = configuration;
    this.log.info('Configuration in force.', { revision: configuration.revision });
    this.onConfiguration(configuration);
  }
}
