import { spawn } from 'node:child_process';
import type { ChildProcess, IOType } from 'node:child_process';
import { mkdtempSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { freePortPair, freePorts } from './ports.js';

const programDirectory = fileURLToPath(new URL('../../platform/dist/', import.meta.url));

/** The programs that run on the users' platform, by their main files. */
export const PlatformMain = { entry: 'entryMain.js', agent: 'agentMain.js' } as const;

/** One of the values of {@link PlatformMain}. */
export type PlatformMain = (typeof PlatformMain)[keyof typeof PlatformMain];

/** Options of a program under test. */
export interface ProgramOptions {
  readonly main: PlatformMain;
  /** Directory of the built programs; the unbundled modules by default. */
  readonly directory?: string;
  /** File descriptor for standard output; output is discarded by default. */
  readonly log?: number;
  /** Port of the metrics endpoint; a free one by default. */
  readonly metricsPort?: number;
  /** Flags of Node.js; none by default. */
  readonly flags?: readonly string[];
}

/** Entries of the platform's settings file by key. */
export type SettingsLines = Record<string, string>;

/** Settings of an entry on this machine that uses the given store address. */
export async function makeEntrySettings(store: string): Promise<SettingsLines> {
  const [callers, readiness] = await freePorts(2);
  const first = await freePortPair();
  return {
    NodeName: 'front-1',
    Ip: '127.0.0.1',
    Zone: 'a',
    Region: 'r',
    'Zones.a': 'r',
    'Listen.Front': `127.0.0.1:${callers}`,
    'Listen.Ready': `127.0.0.1:${readiness}`,
    PortRange: `${first},${first + 1}`,
    'Limits.LinkMbps': '1000.0',
    HeartbeatMs: '1200',
    'Platform.Address': store,
    'Platform.MinTtlMs': '1000',
    'Bounds.DrainMs': '2000',
    'Bounds.GraceS': '8',
    'Bounds.ConfigApplyMs': '2000',
    'Bounds.FailClosed': 'true',
    'Bounds.RevokeMs': '5000',
    'Bounds.RetryBudget': '0.2',
    'Bounds.BudgetWindowS': '10',
    'Bounds.RetrySlack': '102',
    'Bounds.ColdOverage': '1.5',
    'Bounds.ColdSlack': '5',
    'Bounds.EvacuateMs': '5000',
    'Bounds.PassMs': '120',
    'Bounds.ReuseAfterS': '2',
    'Bounds.version_ms': '8000',
  };
}

/** A platform program in its own process; signals go to its own process id only. */
export class PlatformProgram {
  readonly file = join(mkdtempSync(join(tmpdir(), 'laburnumstream-')), 'settings.conf');

  metricsPort = 0;

  errors = '';

  private child: ChildProcess | undefined;

  private exitCode: Promise<number | null> = Promise.resolve(null);

  constructor(private readonly options: ProgramOptions = { main: PlatformMain.entry }) {}

  get pid(): number {
    return this.child?.pid ?? 0;
  }

  get isRunning(): boolean {
    const { child } = this;
    return child?.pid !== undefined && child.exitCode === null && child.signalCode === null;
  }

  write(lines: SettingsLines): void {
    const text = Object.entries(lines).map(([name, value]) => `${name}=${value}`);
    writeFileSync(this.file, `${text.join('\n')}\n`);
  }

  /** Starts the program. `output` is a file descriptor, `pipe` (never read) or `ignore`. */
  async start(output: IOType | number = this.options.log ?? 'ignore'): Promise<void> {
    const { main, directory = programDirectory, flags = [] } = this.options;
    this.metricsPort = this.options.metricsPort ?? (await freePorts(1))[0]!;
    const args = [...flags, join(directory, main), '--metrics-port', String(this.metricsPort)];
    const child = spawn(process.execPath, args, {
      env: { PATH: process.env.PATH, LABURNUMSTREAM_CONFIG: this.file },
      stdio: ['ignore', output, 'pipe'],
    });
    child.stderr!.on('data', (bytes: Buffer) => {
      this.errors += bytes.toString();
    });
    this.child = child;
    this.exitCode = new Promise((resolve) => {
      child.once('exit', (code) => resolve(code));
      child.once('error', (error) => {
        this.errors += error.message;
        resolve(null);
      });
    });
  }

  signal(name: NodeJS.Signals): void {
    this.child?.kill(name);
  }

  /** Waits for the exit and returns the exit code; null when a signal ended the process. */
  waitForExit(): Promise<number | null> {
    return this.exitCode;
  }

  close(): void {
    this.child?.kill('SIGKILL');
  }
}
