import { SeededRandom } from '@laburnumstream/common';
import { parseConfiguration } from '@laburnumstream/decisions';
import type { AuditRecord, Change, Configuration } from '@laburnumstream/decisions';
import { AuditTrail, ConfigurationEditor } from '@laburnumstream/entry';
import type { Acceptance } from '@laburnumstream/entry';
import { MemoryKeyValueStore, MemoryStoreContent, VirtualClock } from '@laburnumstream/standins';
import { Holder } from './holder.js';

/** Several editors of one document, each with its own way to the store, in virtual time. */
export class EditingFleet {
  readonly clock = new VirtualClock();

  readonly content = new MemoryStoreContent();

  readonly stores: MemoryKeyValueStore[];

  readonly holders: Holder[];

  private readonly editors: ConfigurationEditor[];

  private readonly running = new AbortController();

  constructor(seed: number, editors = 2) {
    const random = new SeededRandom(seed);
    this.stores = Array.from(
      { length: editors },
      () => new MemoryKeyValueStore(this.content, this.clock, random),
    );
    this.holders = this.stores.map(() => new Holder());
    this.editors = this.stores.map(
      (store, index) => new ConfigurationEditor(store, this.holders[index]!, this.clock),
    );
  }

  /** Starts a change at an editor. */
  start(change: Change, editor = 0): Promise<Acceptance> {
    return this.editors[editor]!.apply(change, this.running.signal);
  }

  /** Makes a change and waits for its outcome in virtual time. */
  apply(change: Change, editor = 0): Promise<Acceptance> {
    return this.clock.runUntilSettled(this.start(change, editor));
  }

  preview(change: Change) {
    return this.clock.runUntilSettled(this.editors[0]!.preview(change, this.running.signal));
  }

  /** The stored document. */
  get stored(): Configuration {
    const text = this.content.values.get('laburnumstream/configuration')?.value;
    return parseConfiguration(text ?? '{}');
  }

  /** The whole audit trail, oldest first. */
  async trail(): Promise<readonly AuditRecord[]> {
    const store = new MemoryKeyValueStore(this.content, this.clock, new SeededRandom(1));
    const read = new AuditTrail(store).read(this.stored, { limit: 1_000 }, this.running.signal);
    return (await this.clock.runUntilSettled(read)).records;
  }
}
