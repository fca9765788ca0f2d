/** One line of a process's log. */
export interface LogLine {
  readonly timestamp: string;
  readonly instance: string;
  readonly message: string;
  readonly [field: string]: unknown;
}

/** A line of a story: something about the request itself, or what a process believed then. */
export interface TimelineEntry {
  readonly line: LogLine;
  readonly isProcessState: boolean;
}

/** What a line says of the state of its process; a later line of the same subject replaces it. */
type SubjectSelector = (line: LogLine) => string | undefined;

function getEndpoint({ endpoint }: LogLine): string | undefined {
  return typeof endpoint === 'string' ? endpoint : undefined;
}

/** The subjects of lines on what a process believes, by message. */
const subjects: Readonly<Record<string, SubjectSelector>> = {
  'fleet: Configuration in force.': () => 'configuration',
  'store: Store not reachable.': () => 'store',
  'store: Store reachable again.': () => 'store',
  'fleet: Version named.': () => 'version',
  'fleet: Endpoint registered.': getEndpoint,
  'fleet: Endpoint gone.': getEndpoint,
  'store: Not registered; it may come back.': ({ key }) => String(key),
  'sidecars: Engine changed.': getEndpoint,
  'process: Shutdown started.': () => 'process',
  'process: Started.': () => 'process',
};

/** The first line of a process: what the one before it believed is gone. */
const startMessage = 'process: Started.';

/** Forgets what a process believed that has been started anew. */
function discardStateOf({ instance }: LogLine, latest: Map<string, LogLine>): void {
  latest.forEach((line, key) => {
    if (line.instance === instance) latest.delete(key);
  });
}

/** Reads one line of a log, which may have other text before it; undefined when it is none. */
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
    // Logs of other programs may stand between.
    return undefined;
  }
}

/** Collects the story of one request from the lines of any number of processes. */
export class RequestTimeline {
  private readonly requestLines: LogLine[] = [];

  private readonly stateLines: LogLine[] = [];

  constructor(private readonly id: string) {}

  addLine(line: LogLine): void {
    if (line.id === this.id) this.requestLines.push(line);
    else if (subjects[line.message]) this.stateLines.push(line);
  }

  /**
   * The request's lines in order of time, and before them what the processes that handled it
   * believed when it came, as far as that concerns it. Empty when no line names the request.
   */
  getEntries(): TimelineEntry[] {
    const own = [...this.requestLines].sort((a, b) => a.timestamp.localeCompare(b.timestamp));
    const [first] = own;
    if (!first) return [];
    const last = own.at(-1)!;
    const instances = new Set(own.map(({ instance }) => instance));
    const endpoints = new Set(own.flatMap((line) => getEndpoint(line) ?? []));
    const latest = new Map<string, LogLine>();
    const during: TimelineEntry[] = [];
    [...this.stateLines]
      .sort((a, b) => a.timestamp.localeCompare(b.timestamp))
      .filter((line) => instances.has(line.instance) && line.timestamp <= last.timestamp)
      .filter((line) => getEndpoint(line) === undefined || endpoints.has(getEndpoint(line)!))
      .forEach((line) => {
        const subject = subjects[line.message]!(line);
        if (line.timestamp > first.timestamp) during.push({ line, isProcessState: true });
        else {
          if (line.message === startMessage) discardStateOf(line, latest);
          // Set anew, so that the latest belief stands last.
          latest.delete(`${line.instance} ${subject}`);
          latest.set(`${line.instance} ${subject}`, line);
        }
      });
    const before = [...latest.values()].map((line) => ({ line, isProcessState: true }));
    const after = [...own.map((line) => ({ line, isProcessState: false })), ...during].sort(
      (a, b) => a.line.timestamp.localeCompare(b.line.timestamp),
    );
    return [...before, ...after];
  }
}

const hiddenFields = new Set(['timestamp', 'instance', 'message', 'level', 'id']);

/** The story as text, one line for each step. */
export function renderTimeline(story: readonly TimelineEntry[]): string {
  return story
    .map(({ line, isProcessState }) => {
      const fields = Object.entries(line)
        .filter(([name]) => !hiddenFields.has(name))
        .map(([name, value]) => `${name}=${JSON.stringify(value)}`);
      const mark = isProcessState ? '(state)' : '       ';
      return `${line.timestamp} ${line.instance} ${mark} ${line.message} ${fields.join(' ')}`;
    })
    .join('\n');
}
