import { randomUUID } from 'node:crypto';
import {
  AcceptanceUnknown,
  Conflict,
  NotAccepted,
  optionDefaults,
  toFailure,
} from '@laburnumstream/common';
import type { Clock, KeyValueStore } from '@laburnumstream/common';
import {
  checkDocumentSize,
  configurationKey,
  nextAuditPage,
  computeEdit,
  auditPageKey,
  parseConfiguration,
  withoutPagedRecords,
} from '@laburnumstream/decisions';
import type { Change, Configuration, Edit } from '@laburnumstream/decisions';
import { AuditTrail } from './auditTrail.js';

export type { Change } from '@laburnumstream/decisions';

const maxWriteAttempts = 16;
const retryMs = 200;

/** Holds the configuration in force and adopts newer ones. */
export interface ConfigurationHolder {
  readonly configuration: Configuration;
  /** The document in JSON. */
  readonly document: string;
  /** Puts a document in force if it is newer. */
  adopt(text: string): void;
}

/** The document that a change applies to, and the store's revision of its key. */
interface BaseDocument {
  readonly before: Configuration;
  readonly ifRevision: number;
}

/** The revision and the id of an accepted change. */
export type Acceptance = Pick<Configuration, 'revision' | 'changeId'>;

/** Converts the failure of a step before the write of the document to `NotAccepted`. */
async function wrapAsNotAccepted<Value>(step: Promise<Value>): Promise<Value> {
  try {
    return await step;
  } catch (error) {
    throw new NotAccepted(toFailure(error).message, error);
  }
}

/** Applies operators' changes to the stored document by compare-and-swap. */
export class ConfigurationEditor {
  private readonly auditTrail: AuditTrail;

  constructor(
    private readonly store: KeyValueStore,
    private readonly holder: ConfigurationHolder,
    private readonly clock: Clock,
    private readonly timeoutMs: number = optionDefaults.changeTimeoutMs,
  ) {
    this.auditTrail = new AuditTrail(store);
  }

  /**
   * Applies a change and returns its revision. When the response to a write is lost, reads the
   * document again to find out whether the write was applied. Throws `NotAccepted` or another
   * refusal only when the change is certainly not accepted, and `AcceptanceUnknown` when that cannot
   * be found out in time.
   */
  async apply(change: Change, parentSignal: AbortSignal): Promise<Acceptance> {
    const timeout = new AbortController();
    const signal = AbortSignal.any([parentSignal, timeout.signal]);
    void this.clock.sleep(this.timeoutMs, signal).then(
      () => timeout.abort(),
      () => undefined,
    );
    try {
      return await this.applyWithRetries(change, change.changeId ?? randomUUID(), signal);
    } finally {
      timeout.abort();
    }
  }

  /**
   * The result of applying a change to the stored document, or to the one in force when the store
   * cannot be reached; writes nothing.
   */
  async preview(change: Change, signal: AbortSignal): Promise<Edit & { before: Configuration }> {
    const { before } = await this.readNewest(signal).catch(() => ({
      before: this.holder.configuration,
    }));
    const base = change.ifRevision ?? before.revision;
    const edit = computeEdit(change, { before, base, changeId: '', at: this.clock.wall() });
    checkDocumentSize(JSON.stringify(edit.after));
    return { ...edit, before };
  }

  /** The revision of a change; undefined when it has not been accepted so far. */
  async findRevision(changeId: string, signal: AbortSignal): Promise<number | undefined> {
    const { before } = await this.readNewest(signal);
    return (await this.auditTrail.findByChange(before, changeId, signal))?.revision;
  }

  private async applyWithRetries(
    change: Change,
    changeId: string,
    signal: AbortSignal,
  ): Promise<Acceptance> {
    let base = change.ifRevision;
    for (let attempt = 0; attempt < maxWriteAttempts; attempt += 1) {
      const { before, ifRevision } = await wrapAsNotAccepted(this.readNewest(signal));
      const acceptance = await wrapAsNotAccepted(this.findAcceptance(change, before, signal));
      if (acceptance) return acceptance;
      base ??= before.revision;
      const at = this.clock.wall();
      const edit = computeEdit(change, { before, base, changeId, at });
      const after = await wrapAsNotAccepted(this.archiveDuePage(edit.after, before, signal));
      const text = JSON.stringify(after);
      checkDocumentSize(text);
      if (await this.writeUntilKnown(text, after, ifRevision, signal)) {
        this.holder.adopt(text);
        return { revision: after.revision, changeId };
      }
    }
    throw new Conflict('Other changes kept coming first; the change is not accepted.');
  }

  /** Reads the stored document; returns the one in force when the store has lost revisions. */
  private async readNewest(signal: AbortSignal): Promise<BaseDocument> {
    const stored = await this.store.get(configurationKey, signal);
    const before = parseConfiguration(stored?.value ?? '{}');
    const inForce = this.holder.configuration;
    const newest = inForce.revision > before.revision ? inForce : before;
    return { before: newest, ifRevision: stored?.revision ?? 0 };
  }

  /** The acceptance of a change that was already applied under the same id. */
  private async findAcceptance(
    { changeId }: Change,
    before: Configuration,
    signal: AbortSignal,
  ): Promise<Acceptance | undefined> {
    return changeId ? this.auditTrail.findByChange(before, changeId, signal) : undefined;
  }

  /** Moves older audit records to a page under its own key before the change is written. */
  private async archiveDuePage(
    after: Configuration,
    before: Configuration,
    signal: AbortSignal,
  ): Promise<Configuration> {
    const page = nextAuditPage(before);
    if (!page) return after;
    try {
      await this.store.put(auditPageKey(page), JSON.stringify(page), { ifRevision: 0 }, signal);
    } catch (error) {
      if (!(error instanceof Conflict)) throw error;
    }
    return withoutPagedRecords(after, page);
  }

  /** Retries a write until its outcome is known; returns whether the document was stored. */
  private async writeUntilKnown(
    text: string,
    { revision, changeId }: Configuration,
    ifRevision: number,
    signal: AbortSignal,
  ): Promise<boolean> {
    let writeError: unknown;
    for (;;) {
      try {
        await this.store.put(configurationKey, text, { ifRevision }, signal);
        return true;
      } catch (error) {
        if (!(error instanceof Conflict)) writeError ??= error;
      }
      try {
        const stored = await this.store.get(configurationKey, signal);
        // While the key is unchanged, a delayed write may still be applied; writing again decides.
        if ((stored?.revision ?? 0) !== ifRevision) {
          const current = parseConfiguration(stored?.value ?? '{}');
          const record = await this.auditTrail.findByRevision(current, revision, signal);
          return record?.changeId === changeId;
        }
      } catch (error) {
        if (!signal.aborted) await this.clock.sleep(retryMs, signal).catch(() => undefined);
        if (signal.aborted && writeError) throw new AcceptanceUnknown(changeId, writeError);
        if (signal.aborted) throw new NotAccepted('the store did not answer in time.', error);
      }
    }
  }
}
