import { SeededRandom } from '@laburnumstream/common';
import { parseConfiguration } from '@laburnumstream/decisions';
import type { AuditRecord, Change, Configuration } from '@laburnumstream/decisions';
import { AuditTrail, ConfigurationEditor } from '@laburnumstream/entry';
import type { Acceptance } from '@laburnumstream/entry';
import { MemoryKeyValueStore, MemoryStoreContent, VirtualClock } from '@laburnumstream/standins';
import { InMemoryConfigurationHolder } from './inMemoryConfigurationHolder.js';

/** Several configuration editors of one document, each with its own store client, in virtual time. */
export class EditingFleet {
  readonly clock = new VirtualClock();

  readonly content = new MemoryStoreContent();

  readonly stores: MemoryKeyValueStore[];

  readonly holders: InMemoryConfigurationHolder[];

  private readonly editors: ConfigurationEditor[];

  private readonly abort = new AbortController();

  constructor(seed: number, editors = 2) {
    const random = new SeededRandom(seed);
    this.stores = Array.from(
      { length: editors },
      () => new MemoryKeyValueStore(this.content, this.clock, random),
    );
    this.holders = this.stores.map(() => new InMemoryConfigurationHolder());
    this.editors = this.stores.map(
      (store, index) => new ConfigurationEditor(store, this.holders[index]!, this.clock),
    );
  }

  /** Starts a change at an editor. */
  start(change: Change, editor = 0): Promise<Acceptance> {
    return this.editors[editor]!.apply(change, this.abort.signal);
  }

  /** Applies a change and runs virtual time until its outcome is known. */
  apply(change: Change, editor = 0): Promise<Acceptance> {
    return this.clock.runUntilSettled(this.start(change, editor));
  }

  preview(change: Change) {
    return this.clock.runUntilSettled(this.editors[0]!.preview(change, this.abort.signal));
  }

  /** The stored document. */
  get storedConfiguration(): Configuration {
    const text = this.content.values.get('laburnumstream/configuration')?.value;
    return parseConfiguration(text ?? '{}');
  }

  /** Reads the whole audit trail, oldest record first. */
  async readAuditTrail(): Promise<readonly AuditRecord[]> {
    const store = new MemoryKeyValueStore(this.content, this.clock, new SeededRandom(1));
    const read = new AuditTrail(store).read(
      this.storedConfiguration,
      { limit: 1_000 },
      this.abort.signal,
    );
    return (await this.clock.runUntilSettled(read)).records;
  }
}
