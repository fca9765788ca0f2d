/** One line of a process's log. */
export interface LogLine {
  readonly timestamp: string;
  readonly instance: string;
  readonly message: string;
  readonly [field: string]: unknown;
}

/** A line of a story: something about the request itself, or what a process believed then. */
export interface StoryLine {
  readonly line: LogLine;
  readonly isBelief: boolean;
}

/** What a line says of the state of its process; a later line of the same subject replaces it. */
type Subject = (line: LogLine) => string | undefined;

function endpointOf({ endpoint }: LogLine): string | undefined {
  return typeof endpoint === 'string' ? endpoint : undefined;
}

/** The subjects of lines on what a process believes, by message. */
const subjects: Readonly<Record<string, Subject>> = {
  'fleet: Configuration in force.': () => 'configuration',
  'store: Store not reachable.': () => 'store',
  'store: Store reachable again.': () => 'store',
  'fleet: Version named.': () => 'version',
  'fleet: Endpoint registered.': endpointOf,
  'fleet: Endpoint gone.': endpointOf,
  'store: Not registered; it may come back.': ({ key }) => String(key),
  'sidecars: Engine changed.': endpointOf,
  'process: Shutdown started.': () => 'process',
  'process: Started.': () => 'process',
};

/** The first line of a process: what the one before it believed is gone. */
const startMessage = 'process: Started.';

/** Forgets what a process believed that has been started anew. */
function forgetBefore({ instance }: LogLine, latest: Map<string, LogLine>): void {
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
export class Explanation {
  private readonly own: LogLine[] = [];

  private readonly beliefs: LogLine[] = [];

  constructor(private readonly id: string) {}

  take(line: LogLine): void {
    if (line.id === this.id) this.own.push(line);
    else if (subjects[line.message]) this.beliefs.push(line);
  }

  /**
   * The request's lines in order of time, and before them what the processes that handled it
   * believed when it came, as far as that concerns it. Empty when no line names the request.
   */
  story(): StoryLine[] {
    const own = [...this.own].sort((a, b) => a.timestamp.localeCompare(b.timestamp));
    const [first] = own;
    if (!first) return [];
    const last = own.at(-1)!;
    const instances = new Set(own.map(({ instance }) => instance));
    const endpoints = new Set(own.flatMap((line) => endpointOf(line) ?? []));
    const latest = new Map<string, LogLine>();
    const during: StoryLine[] = [];
    [...this.beliefs]
      .sort((a, b) => a.timestamp.localeCompare(b.timestamp))
      .filter((line) => instances.has(line.instance) && line.timestamp <= last.timestamp)
      .filter((line) => endpointOf(line) === undefined || endpoints.has(endpointOf(line)!))
      .forEach((line) => {
        const subject = subjects[line.message]!(line);
        if (line.timestamp > first.timestamp) during.push({ line, isBelief: true });
        else {
          if (line.message === startMessage) forgetBefore(line, latest);
          // Set anew, so that the latest belief stands last.
          latest.delete(`${line.instance} ${subject}`);
          latest.set(`${line.instance} ${subject}`, line);
        }
      });
    const before = [...latest.values()].map((line) => ({ line, isBelief: true }));
    const after = [...own.map((line) => ({ line, isBelief: false })), ...during].sort((a, b) =>
      a.line.timestamp.localeCompare(b.line.timestamp),
    );
    return [...before, ...after];
  }
}

const hidden = new Set(['timestamp', 'instance', 'message', 'level', 'id']);

/** The story as text, one line for each step. */
export function renderStory(story: readonly StoryLine[]): string {
  return story
    .map(({ line, isBelief }) => {
      const fields = Object.entries(line)
        .filter(([name]) => !hidden.has(name))
        .map(([name, value]) => `${name}=${JSON.stringify(value)}`);
      const mark = isBelief ? '(state)' : '       ';
      return `${line.timestamp} ${line.instance} ${mark} ${line.message} ${fields.join(' ')}`;
    })
    .join('\n');
}
