import { emptyConfiguration, parseConfiguration } from '@laburnumstream/decisions';
import type { Configuration } from '@laburnumstream/decisions';
import type { ConfigurationHolder } from '@laburnumstream/entry';

/** Keeps the newest adopted configuration as an entry does, without distributing it to peers. */
export class InMemoryConfigurationHolder implements ConfigurationHolder {
  configuration: Configuration = emptyConfiguration;

  document = '{}';

  adopt(text: string): void {
    const configuration = parseConfiguration(text);
    if (configuration.revision <= this.configuration.revision) return;
    this.configuration = configuration;
    this.document = text;
  }
}
