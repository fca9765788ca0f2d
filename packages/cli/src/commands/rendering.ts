const indentSpaces = 2;
const maxValueLength = 100;

interface ItemChange {
  readonly path: string;
  readonly from?: unknown;
  readonly to?: unknown;
}

interface AuditRecord {
  readonly revision: number;
  readonly changeId: string;
  readonly at: number;
  readonly author: string;
  readonly action: string;
  readonly reason: string;
  readonly outcome: string;
  readonly changes: readonly ItemChange[];
}

interface ChangeResponse {
  readonly accepted: boolean;
  readonly dryRun?: boolean;
  readonly revision: number | null;
  readonly changeId?: string;
  readonly changes?: readonly ItemChange[];
  readonly effects?: readonly {
    readonly policy: Readonly<Record<string, { readonly from: number; readonly to: number }>>;
    readonly workspace?: string;
    readonly instances: readonly string[];
  }[];
}

/** Formats a response as indented JSON. */
export function formatJson(response: unknown): string {
  return JSON.stringify(response, null, indentSpaces);
}

function formatValue(value: unknown): string {
  const text = value === undefined ? 'none' : JSON.stringify(value);
  return text.length > maxValueLength ? `${text.slice(0, maxValueLength)}…` : text;
}

function formatItemChange({ path, from, to }: ItemChange): string {
  return `  ${path}: ${formatValue(from)} -> ${formatValue(to)}`;
}

/** Aligns rows in columns as wide as their longest cell. */
function formatTable(rows: readonly (readonly string[])[]): string {
  const widths = (rows[0] ?? []).map((_, column) =>
    Math.max(...rows.map((row) => row[column]?.length ?? 0)),
  );
  return rows
    .map((row) =>
      row
        .map((cell, column) => cell.padEnd(widths[column]!))
        .join('  ')
        .trimEnd(),
    )
    .join('\n');
}

/** Formats the outcome of a change or, for a dry run, its effects. */
export function renderChange(response: unknown): string {
  const {
    accepted,
    dryRun,
    revision,
    changeId,
    changes = [],
    effects = [],
  } = response as ChangeResponse;
  if (!dryRun) {
    const outcome = accepted ? `accepted as revision ${revision}` : 'not accepted up to now';
    return `${outcome} (change ${changeId})`;
  }
  const effectLines = effects.map(({ policy, workspace, instances }) => {
    const values = Object.entries(policy).map(([name, { from, to }]) => `${name} ${from} -> ${to}`);
    const limit = workspace === undefined ? '' : ` for workspace ${workspace}`;
    return `  ${values.join(', ')}${limit} on ${instances.length} instances: ${instances.join(' ')}`;
  });
  const noEffect = ['  no policy of a live instance'];
  return [
    `dry run at revision ${revision}; nothing is changed`,
    'items:',
    ...changes.map(formatItemChange),
    'policy in force:',
    ...(effects.length > 0 ? effectLines : noEffect),
  ].join('\n');
}

/** Formats the audit trail, oldest first. */
export function renderAudit(response: unknown): string {
  const { records, complete } = response as { records: readonly AuditRecord[]; complete: boolean };
  const lines = records.flatMap(({ revision, at, author, action, reason, outcome, changes }) => [
    `${revision}  ${new Date(at).toISOString()}  ${author}  ${action}: ${reason} (${outcome})`,
    ...changes.map(formatItemChange),
  ]);
  return [...lines, ...(complete ? [] : ['older records are out of reach'])].join('\n');
}

interface Exception {
  readonly id: string;
  readonly scope: Readonly<Record<string, string>>;
  readonly policy: Readonly<Record<string, number>>;
  readonly reason: string;
  readonly author: string;
  readonly expiresAt?: number;
}

/** Formats the exceptions, or the outcome of a change to them. */
export function renderExceptions(response: unknown): string {
  if (!Array.isArray(response)) return renderChange(response);
  const pairs = (value: Readonly<Record<string, unknown>>): string =>
    Object.entries(value)
      .map(([key, item]) => `${key}=${String(item)}`)
      .join(' ');
  const rows = (response as readonly Exception[]).map((item) => [
    item.id,
    pairs(item.scope),
    pairs(item.policy),
    item.author,
    item.expiresAt ? new Date(item.expiresAt).toISOString() : 'never',
    item.reason,
  ]);
  return formatTable([['ID', 'SCOPE', 'POLICY', 'AUTHOR', 'EXPIRES', 'REASON'], ...rows]);
}

interface StatusResponse {
  readonly instance: string;
  readonly revision: number;
  readonly dataCentres: Readonly<Record<string, { readonly state: string }>>;
  readonly members: readonly {
    readonly name: string;
    readonly dataCentre: string;
    readonly service: string;
    readonly leaving: boolean;
    readonly inFlight: number;
    readonly limit: number;
    readonly queued: number;
  }[];
}

/** Formats an entry's view of data centres and agents. */
export function renderStatus(response: unknown): string {
  const { instance, revision, dataCentres, members } = response as StatusResponse;
  const centres = Object.entries(dataCentres).map(([name, { state }]) => `${name} ${state}`);
  const rows = members.map(({ name, dataCentre, service, leaving, inFlight, limit, queued }) => [
    name,
    dataCentre,
    service,
    leaving ? 'leaving' : 'live',
    `${inFlight}/${limit}`,
    String(queued),
  ]);
  return [
    `${instance}: configuration ${revision}; data centres: ${centres.join(', ')}`,
    formatTable([['AGENT', 'DATA CENTRE', 'SERVICE', 'STATE', 'RUNNING', 'QUEUED'], ...rows]),
  ].join('\n');
}
