import { Conflict, InvalidInput } from '@laburnumstream/common';
import { truncateChanges } from './audit.js';
import { diffConfigurations, overlappingPaths, redactTokens } from './diff.js';
import type { AuditRecord, Configuration, ItemChange } from './model.js';
import { checkLockout } from './permissions.js';
import { checkConfiguration } from './schema.js';

/** A change requested by an operator, as a pure function of the document. */
export interface Change {
  readonly author: string;
  readonly action: string;
  readonly reason: string;
  /** Idempotency key: a change sent again with the same id is not applied again. */
  readonly changeId?: string;
  /** The revision that the author saw; later changes of the same items cause a conflict. */
  readonly ifRevision?: number;
  /** Throws `Forbidden` when the author may not make these changes. */
  readonly authorize?: (before: Configuration, changes: readonly ItemChange[]) => void;
  /** Returns the changed document; throws a typed failure when the change cannot be applied. */
  readonly apply: (configuration: Configuration) => Configuration;
}

/** Inputs of one attempt to apply a change. */
export interface EditContext {
  readonly before: Configuration;
  /** The revision that the author saw. */
  readonly base: number;
  readonly changeId: string;
  /** Wall-clock time since the Unix epoch, in milliseconds. */
  readonly at: number;
}

/** The result of a change: the new document and the items that differ. */
export interface Edit {
  readonly after: Configuration;
  readonly changes: readonly ItemChange[];
}

function checkConcurrentChanges(
  author: string,
  { before, base }: EditContext,
  changes: readonly ItemChange[],
) {
  if (base > before.revision) {
    throw new Conflict(`The configuration is at revision ${before.revision}, not ${base}.`);
  }
  if (base === before.revision) return;
  const laterRecords = before.audit.filter(({ revision }) => revision > base);
  if (laterRecords.length < before.revision - base) {
    throw new Conflict(`Too much changed since revision ${base}; read the configuration again.`);
  }
  const conflicting = laterRecords.find(
    (record) => overlappingPaths(changes, record.changes).length > 0,
  );
  if (!conflicting) return;
  const paths = overlappingPaths(changes, conflicting.changes).join(', ');
  throw new Conflict(
    `${conflicting.author} changed ${paths} in revision ${conflicting.revision}; ` +
      `the change by ${author} touches the same and is not accepted.`,
  );
}

/** Applies a change to a document; throws a typed failure when the change is refused. */
export function computeEdit(change: Change, context: EditContext): Edit {
  const { before, changeId, at } = context;
  const { author, action, reason } = change;
  if (!reason.trim()) throw new InvalidInput('Each change needs a written reason.');
  const changed = change.apply(before);
  const changes = diffConfigurations(before, changed);
  change.authorize?.(before, changes);
  checkConcurrentChanges(author, context, changes);
  checkLockout(before, changed);
  const revision = before.revision + 1;
  const record: AuditRecord = {
    revision,
    changeId,
    at,
    author,
    action,
    reason,
    outcome: 'accepted',
    changes: truncateChanges(redactTokens(changes)),
  };
  const after = { ...changed, revision, changeId, audit: [...before.audit, record] };
  checkConfiguration(after);
  return { after, changes };
}
