import type { KeyValueStore } from '@laburnumstream/common';
import type { AuditPage, AuditRecord, Configuration } from '@laburnumstream/decisions';

const maxRecords = 1_000;
const defaultRecords = 100;

/** Which records of the audit trail to read. */
export interface AuditQuery {
  /** Selects only records of revisions after this one. */
  readonly since?: number;
  /** Maximum number of records; the latest ones are returned. */
  readonly limit?: number;
}

/** Records of the audit trail, oldest first. */
export interface AuditExtract {
  readonly records: readonly AuditRecord[];
  /** False when older pages could not be read. */
  readonly complete: boolean;
}

function selectLatest(
  records: readonly AuditRecord[],
  since: number,
  count: number,
): readonly AuditRecord[] {
  return records.filter(({ revision }) => revision > since).slice(-count);
}

/** Reads the audit trail: recent records from the document, older ones from pages in the store. */
export class AuditTrail {
  constructor(private readonly store: KeyValueStore) {}

  /** The latest records that match a query. */
  async read(
    configuration: Configuration,
    { since = 0, limit = defaultRecords }: AuditQuery,
    signal: AbortSignal,
  ): Promise<AuditExtract> {
    const count = Math.min(limit, maxRecords);
    let records = configuration.audit;
    let key = configuration.auditPage;
    while (key && records.length < count && (records[0]?.revision ?? Infinity) > since + 1) {
      const page = await this.readPage(key, signal).catch(() => undefined);
      if (!page) return { records: selectLatest(records, since, count), complete: false };
      records = [...page.records, ...records];
      key = page.previous;
    }
    return { records: selectLatest(records, since, count), complete: true };
  }

  /** The record of a revision; undefined when there is none. */
  async findByRevision(
    configuration: Configuration,
    revision: number,
    signal: AbortSignal,
  ): Promise<AuditRecord | undefined> {
    let { audit: records, auditPage: key } = configuration;
    while (key && (records[0]?.revision ?? Infinity) > revision) {
      const page = await this.readPage(key, signal);
      if (!page) break;
      ({ records, previous: key } = page);
    }
    return records.find((record) => record.revision === revision);
  }

  /** The record of a change; searches the records in the document and the latest page only. */
  async findByChange(
    configuration: Configuration,
    changeId: string,
    signal: AbortSignal,
  ): Promise<AuditRecord | undefined> {
    const { audit, auditPage } = configuration;
    const isWanted = (record: AuditRecord): boolean => record.changeId === changeId;
    const found = audit.find(isWanted);
    if (found || !auditPage) return found;
    return (await this.readPage(auditPage, signal))?.records.find(isWanted);
  }

  private async readPage(key: string, signal: AbortSignal): Promise<AuditPage | undefined> {
    const stored = await this.store.get(key, signal);
    return stored && (JSON.parse(stored.value) as AuditPage);
  }
}
