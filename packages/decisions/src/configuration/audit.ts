import { allItemsPath } from './diff.js';
import { configurationKey } from './model.js';
import type { AuditRecord, Configuration, ItemChange } from './model.js';

/** Number of records at which the older half is moved out of the document. */
const maxInlineRecords = 32;
/** Length of the records' JSON at which the older half is moved out of the document. */
const maxInlineJsonLength = 65_536;
/** Maximum length of a value's JSON in a record; longer values are replaced by their length. */
const maxValueLength = 2_048;
const maxListedChanges = 50;
const revisionDigits = 12;

/** An older part of the audit trail, stored under its own key. */
export interface AuditPage {
  /** Key of the previous page; empty for the first. */
  readonly previous: string;
  readonly records: readonly AuditRecord[];
}

function truncateValue(value: unknown): unknown {
  const { length } = JSON.stringify(value) ?? '';
  return length > maxValueLength ? { cut: true, length } : value;
}

/** Bounds the size of one change in the audit trail. */
export function truncateChanges(changes: readonly ItemChange[]): ItemChange[] {
  const kept = changes.slice(0, maxListedChanges).map(({ path, ...values }) => ({
    path,
    ...('from' in values ? { from: truncateValue(values.from) } : {}),
    ...('to' in values ? { to: truncateValue(values.to) } : {}),
  }));
  const omitted = changes.length - kept.length;
  return omitted > 0 ? [...kept, { path: allItemsPath, to: { cut: true, items: omitted } }] : kept;
}

/**
 * The page of older records that must be written before the next change, if any. It depends only on
 * the accepted document, so that concurrent writers produce the same page.
 */
export function nextAuditPage({ audit, auditPage }: Configuration): AuditPage | undefined {
  if (audit.length < maxInlineRecords && JSON.stringify(audit).length < maxInlineJsonLength) {
    return undefined;
  }
  return { previous: auditPage, records: audit.slice(0, Math.ceil(audit.length / 2)) };
}

/** The key of a page, unique because it names the page's last record. */
export function auditPageKey({ records }: AuditPage): string {
  const { revision, changeId } = records[records.length - 1]!;
  const digits = String(revision).padStart(revisionDigits, '0');
  return `${configurationKey}/audit/${digits}-${changeId}`;
}

/** The document without the records that were moved to a page. */
export function withoutPagedRecords(configuration: Configuration, page: AuditPage): Configuration {
  const audit = configuration.audit.slice(page.records.length);
  return { ...configuration, audit, auditPage: auditPageKey(page) };
}
