import type { Log, Metrics } from '@laburnumstream/common';
import { emptyConfiguration, parseConfiguration } from '@laburnumstream/decisions';
import type { Configuration } from '@laburnumstream/decisions';
import type { ConfigurationHolder } from './configurationEditor.js';

/** Where a document came from. */
export const DocumentSource = { store: 'store', peer: 'peer' } as const;

/** One of the values of {@link DocumentSource}. */
export type DocumentSource = (typeof DocumentSource)[keyof typeof DocumentSource];

/** Called with each revision that comes into force. */
export type AdoptionListener = (revision: number, source: DocumentSource) => void;

/** This entry's replica of the configuration: the newest one received, never an older one again. */
export class ConfigurationReplica implements ConfigurationHolder {
  private current: Configuration = emptyConfiguration;

  private text = JSON.stringify(emptyConfiguration);

  private readonly listeners: AdoptionListener[] = [];

  constructor(
    private readonly metrics: Metrics,
    private readonly log: Log,
  ) {}

  get configuration(): Configuration {
    return this.current;
  }

  /** The document in JSON. */
  get document(): string {
    return this.text;
  }

  /** Adds a listener for new revisions. */
  onAdoption(listener: AdoptionListener): void {
    this.listeners.push(listener);
  }

  /** Puts a document in force if it is newer. */
  adopt(text: string, source: DocumentSource = DocumentSource.store): void {
    const configuration = parseConfiguration(text);
    const { revision, changeId } = configuration;
    this.checkDivergence(revision, changeId);
    if (revision <= this.current.revision) return;
    this.current = configuration;
    this.text = text;
    this.metrics.gauge('configuration_revision', revision);
    this.log.info('Configuration in force.', { revision, source });
    this.listeners.forEach((listener) => listener(revision, source));
  }

  /** Reports a revision that another change made as well; the document in force stays. */
  checkDivergence(revision: number, changeId: string): void {
    if (revision !== this.current.revision || changeId === this.current.changeId) return;
    this.metrics.count('configuration_diverged');
    this.log.error('Configurations diverged: another change has the same revision.', {
      revision,
      changeId,
    });
  }
}
