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

const maxTries = 16;
const retryMs = 200;

/** Holds the configuration in force and takes newer ones. */
export interface ConfigurationHolder {
  readonly configuration: Configuration;
  readonly document: string;
  adopt(text: string): void;
}

/** The document that a change applies to, and the revision of the store's key. */
interface Base {
  readonly before: Configuration;
  readonly ifRevision: number;
}

/** An accepted change. */
export type Acceptance = Pick<Configuration, 'revision' | 'changeId'>;

async function orNotAccepted<Value>(step: Promise<Value>): Promise<Value> {
  try {
    return await step;
  } catch (error) {
    throw new NotAccepted(toFailure(error).message, error);
  }
}

/** Applies operators' changes to the stored document by compare-and-swap. */
export class ConfigurationEditor {
  private readonly trail: AuditTrail;

  constructor(
    private readonly store: KeyValueStore,
    private readonly keeper: ConfigurationHolder,
    private readonly clock: Clock,
    private readonly timeoutMs: number = optionDefaults.changeTimeoutMs,
  ) {
    this.trail = new AuditTrail(store);
  }

  /**
   * Applies a change and returns the revision that it has become. A lost answer is resolved by reading again.
   * Throws `NotAccepted` or another refusal only when the change is certainly not accepted, and
   * `AcceptanceUnknown` when that cannot be found out in time.
   */
  async apply(change: Change, owner: AbortSignal): Promise<Acceptance> {
    const limit = new AbortController();
    const signal = AbortSignal.any([owner, limit.signal]);
    void this.clock.sleep(this.timeoutMs, signal).then(
      () => limit.abort(),
      () => undefined,
    );
    try {
      return await this.tryAgainAndAgain(change, change.changeId ?? randomUUID(), signal);
    } finally {
      limit.abort();
    }
  }

  /** What a change would do to the newest document within reach; writes nothing. */
  async preview(change: Change, signal: AbortSignal): Promise<Edit & { before: Configuration }> {
    const { before } = await this.read(signal).catch(() => ({
      before: this.keeper.configuration,
    }));
    const base = change.ifRevision ?? before.revision;
    const edit = computeEdit(change, { before, base, changeId: '', at: this.clock.wall() });
    checkDocumentSize(JSON.stringify(edit.after));
    return { ...edit, before };
  }

  /** Reads whether a change is accepted: its revision, or undefined when it is not up to now. */
  async revisionOf(changeId: string, signal: AbortSignal): Promise<number | undefined> {
    const { before } = await this.read(signal);
    return (await this.trail.recordOfChange(before, changeId, signal))?.revision;
  }

  private async tryAgainAndAgain(
    change: Change,
    changeId: string,
    signal: AbortSignal,
  ): Promise<Acceptance> {
    let base = change.ifRevision;
    for (let tries = 0; tries < maxTries; tries += 1) {
      const { before, ifRevision } = await orNotAccepted(this.read(signal));
      const known = await orNotAccepted(this.acceptedBefore(change, before, signal));
      if (known) return known;
      base ??= before.revision;
      const at = this.clock.wall();
      const edit = computeEdit(change, { before, base, changeId, at });
      const after = await orNotAccepted(this.movePage(edit.after, before, signal));
      const text = JSON.stringify(after);
      checkDocumentSize(text);
      if (await this.write(text, after, ifRevision, signal)) {
        this.keeper.adopt(text);
        return { revision: after.revision, changeId };
      }
    }
    throw new Conflict('Other changes kept coming first; the change is not accepted.');
  }

  /** Reads the newest document; one in force here that the store has lost goes first. */
  private async read(signal: AbortSignal): Promise<Base> {
    const stored = await this.store.get(configurationKey, signal);
    const before = parseConfiguration(stored?.value ?? '{}');
    const inForce = this.keeper.configuration;
    const newest = inForce.revision > before.revision ? inForce : before;
    return { before: newest, ifRevision: stored?.revision ?? 0 };
  }

  /** The acceptance of a change that its author has sent before. */
  private async acceptedBefore(
    { changeId }: Change,
    before: Configuration,
    signal: AbortSignal,
  ): Promise<Acceptance | undefined> {
    return changeId ? this.trail.recordOfChange(before, changeId, signal) : undefined;
  }

  /** Moves older audit records to a key of their own before the change is written. */
  private async movePage(
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

  /** Writes until it is known whether the document is stored. */
  private async write(
    text: string,
    { revision, changeId }: Configuration,
    ifRevision: number,
    signal: AbortSignal,
  ): Promise<boolean> {
    let lost: unknown;
    for (;;) {
      try {
        await this.store.put(configurationKey, text, { ifRevision }, signal);
        return true;
      } catch (error) {
        if (!(error instanceof Conflict)) lost ??= error;
      }
      try {
        const stored = await this.store.get(configurationKey, signal);
        // While the key is unchanged a delayed write may still take effect: writing again decides.
        if ((stored?.revision ?? 0) !== ifRevision) {
          const now = parseConfiguration(stored?.value ?? '{}');
          const record = await this.trail.recordOf(now, revision, signal);
          return record?.changeId === changeId;
        }
      } catch (error) {
        if (!signal.aborted) await this.clock.sleep(retryMs, signal).catch(() => undefined);
        if (signal.aborted && lost) throw new AcceptanceUnknown(changeId, lost);
        if (signal.aborted) throw new NotAccepted('the store did not answer in time.', error);
      }
    }
  }
}
