/** A line of a process's log. */
export interface LogLine {
  readonly timestamp: string;
  readonly instance: string;
  readonly message: string;
  readonly [field: string]: unknown;
}

/** A log line about the request itself or about the state of a process that handled it. */
export interface TimelineEntry {
  readonly line: LogLine;
  readonly isProcessState: boolean;
}

/** Returns which part of its process's state a line is about; a later line with the same subject replaces it. */
type SubjectSelector = (line: LogLine) => string | undefined;

function getEndpoint({ endpoint }: LogLine): string | undefined {
  return typeof endpoint === 'string' ? endpoint : undefined;
}

const limitMessage = 'sidecars: Endpoint named another limit.';
const leavingMessage = 'sidecars: Endpoint is leaving.';
const pauseMessage = 'sidecars: Endpoint asked for a pause.';

/** Fields of a refusal that count the endpoints about which messages say why they took nothing. */
const countFields: Readonly<Record<string, string>> = {
  [limitMessage]: 'limited',
  [leavingMessage]: 'leaving',
  [pauseMessage]: 'paused',
};

/** A quarantine concerns the requests with its traits, and replaces what was said of them before. */
function getTraits({ traits }: LogLine): string {
  return `traits ${Array.isArray(traits) ? traits.join('+') : ''}`;
}

/** Subjects of the log lines about process state, by message. */
const subjects: Readonly<Record<string, SubjectSelector>> = {
  'fleet: Configuration in force.': () => 'configuration',
  'store: Store not reachable.': () => 'store',
  'store: Store reachable again.': () => 'store',
  'fleet: Version named.': () => 'version',
  'fleet: Endpoint registered.': getEndpoint,
  'fleet: Endpoint gone.': getEndpoint,
  'store: Not in the store; it may come back.': ({ key }) => String(key),
  'sidecars: Engine changed.': getEndpoint,
  [limitMessage]: getEndpoint,
  [leavingMessage]: getEndpoint,
  [pauseMessage]: getEndpoint,
  'crashes: Content quarantined.': getTraits,
  'crashes: Content quarantined by another entry.': getTraits,
  'crashes: Quarantine released.': getTraits,
  'process: Shutdown started.': () => 'process',
  'process: Started.': () => 'process',
};

/** First message of a process; state logged by earlier processes of its instance is obsolete. */
const startMessage = 'process: Started.';

/** Discards the state logged by earlier processes of the line's instance. */
function discardStateOf({ instance }: LogLine, latest: Map<string, LogLine>): void {
  latest.forEach((line, key) => {
    if (line.instance === instance) latest.delete(key);
  });
}

/** Parses a log line, ignoring any text before the JSON object; returns undefined if it is not a log line. */
export function parseLogLine(text: string): LogLine | undefined {
  const start = text.indexOf('{');
  if (start < 0) return undefined;
  try {
    const value = JSON.parse(text.slice(start)) as Partial<LogLine>;
    const { timestamp, instance, message } = value;
    const isLine =
      typeof timestamp === 'string' && typeof instance === 'string' && typeof message === 'string';
    return isLine ? (value as LogLine) : undefined;
  } catch {
    // The input may be interleaved with logs of other programs.
    return undefined;
  }
}

/** Builds the timeline of one request from the log lines of any number of processes. */
export class RequestTimeline {
  private readonly requestLines: LogLine[] = [];

  private readonly stateLines: LogLine[] = [];

  constructor(private readonly id: string) {}

  addLine(line: LogLine): void {
    if (line.id === this.id) this.requestLines.push(line);
    else if (subjects[line.message]) this.stateLines.push(line);
  }

  /**
   * Returns the request's lines in chronological order, with changes of the relevant process state in
   * between. They are preceded by the state of the processes that handled the request as of its
   * arrival, as far as it is relevant. Empty if no line refers to the request.
   */
  getEntries(): TimelineEntry[] {
    const ownLines = [...this.requestLines].sort((a, b) => a.timestamp.localeCompare(b.timestamp));
    const [first] = ownLines;
    if (!first) return [];
    const last = ownLines.at(-1)!;
    const instances = new Set(ownLines.map(({ instance }) => instance));
    const endpoints = new Set(ownLines.flatMap((line) => getEndpoint(line) ?? []));
    const refusedTraits = new Set(ownLines.map(getTraits));
    // A request that was refused for what endpoints have said names none of them.
    const isCounted = ({ message }: LogLine): boolean => {
      const field = countFields[message];
      return field !== undefined && ownLines.some((line) => Number(line[field] ?? 0) > 0);
    };
    const latest = new Map<string, LogLine>();
    const during: TimelineEntry[] = [];
    [...this.stateLines]
      .sort((a, b) => a.timestamp.localeCompare(b.timestamp))
      .filter((line) => instances.has(line.instance) && line.timestamp <= last.timestamp)
      .filter(
        (line) =>
          getEndpoint(line) === undefined || endpoints.has(getEndpoint(line)!) || isCounted(line),
      )
      .filter((line) => !Array.isArray(line.traits) || refusedTraits.has(getTraits(line)))
      .forEach((line) => {
        const subject = subjects[line.message]!(line);
        if (line.timestamp > first.timestamp) during.push({ line, isProcessState: true });
        else {
          if (line.message === startMessage) discardStateOf(line, latest);
          // Deleted first, so that the latest line becomes the last in iteration order.
          latest.delete(`${line.instance} ${subject}`);
          latest.set(`${line.instance} ${subject}`, line);
        }
      });
    const before = [...latest.values()].map((line) => ({ line, isProcessState: true }));
    const after = [...ownLines.map((line) => ({ line, isProcessState: false })), ...during].sort(
      (a, b) => a.line.timestamp.localeCompare(b.line.timestamp),
    );
    return [...before, ...after];
  }
}

const hiddenFields = new Set(['timestamp', 'instance', 'message', 'level', 'id']);

/** Formats a timeline as text, one line per entry. */
export function renderTimeline(entries: readonly TimelineEntry[]): string {
  return entries
    .map(({ line, isProcessState }) => {
      const fields = Object.entries(line)
        .filter(([name]) => !hiddenFields.has(name))
        .map(([name, value]) => `${name}=${JSON.stringify(value)}`);
      const mark = isProcessState ? '(state)' : '       ';
      return `${line.timestamp} ${line.instance} ${mark} ${line.message} ${fields.join(' ')}`;
    })
    .join('\n');
}
