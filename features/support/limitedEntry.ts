import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { mkdtempSync, readFileSync, readdirSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { freePorts, makeEntrySettings } from '@laburnumstream/bench';
import type { SettingsLines } from '@laburnumstream/bench';

const program = fileURLToPath(new URL('../../../platform/dist/entryMain.js', import.meta.url));
/** The flags with which `deploy/system.toml` starts an entry. */
const flags = ['--max-semi-space-size=2', '--max-old-space-size=200'];
const sampleMs = 20;
const bytesPerKilobyte = 1_024;

/** The listeners of an entry. */
export const ListenerName = {
  callers: 'callers',
  readiness: 'readiness',
  feed: 'feed',
  metrics: 'metrics',
} as const;

/** One of the values of {@link ListenerName}. */
export type ListenerName = (typeof ListenerName)[keyof typeof ListenerName];

/** The most that a process has used. */
export interface PeakUse {
  readonly rssBytes: number;
  readonly descriptors: number;
}

/** An entry program whose memory and descriptors are sampled from its start on. */
export class LimitedEntry {
  private peak: PeakUse = { rssBytes: 0, descriptors: 0 };

  private readonly timer: NodeJS.Timeout;

  private errors = '';

  private constructor(
    private readonly child: ChildProcess,
    private readonly lines: SettingsLines,
    private readonly metricsPort: number,
  ) {
    child.stderr!.on('data', (bytes: Buffer) => {
      this.errors = (this.errors + bytes.toString()).slice(0, 2_000);
    });
    this.timer = setInterval(() => this.sample(), sampleMs);
  }

  static async start(store: string, limits: SettingsLines): Promise<LimitedEntry> {
    const lines = { ...(await makeEntrySettings(store)), ...limits };
    const file = join(mkdtempSync(join(tmpdir(), 'laburnumstream-')), 'settings.conf');
    const text = Object.entries(lines).map(([name, value]) => `${name}=${value}\n`);
    writeFileSync(file, text.join(''));
    const metricsPort = (await freePorts(1))[0]!;
    const args = [...flags, program, '--metrics-port', String(metricsPort)];
    const child = spawn(process.execPath, args, {
      env: { PATH: process.env.PATH, LABURNUMSTREAM_CONFIG: file },
      stdio: ['ignore', 'ignore', 'pipe'],
    });
    return new LimitedEntry(child, lines, metricsPort);
  }

  get callerAddress(): string {
    return this.lines['Listen.Front']!;
  }

  get isAlive(): boolean {
    return this.child.exitCode === null && this.child.signalCode === null;
  }

  /** What the process has used at most, and what it said if it ended. */
  get use(): PeakUse & { readonly isAlive: boolean; readonly errors: string } {
    return { ...this.peak, isAlive: this.isAlive, errors: this.errors };
  }

  port(listener: ListenerName): number {
    const ports: Record<ListenerName, string> = {
      callers: this.callerAddress.split(':')[1]!,
      readiness: this.lines['Listen.Ready']!.split(':')[1]!,
      feed: this.lines.PortRange!.split(',')[1]!,
      metrics: String(this.metricsPort),
    };
    return Number(ports[listener]);
  }

  async isReady(): Promise<boolean> {
    const url = `http://${this.lines['Listen.Ready']}/`;
    return fetch(url).then(
      ({ status }) => status === 200,
      () => false,
    );
  }

  close(): void {
    clearInterval(this.timer);
    this.child.kill('SIGKILL');
  }

  private sample(): void {
    if (!this.isAlive || this.child.pid === undefined) return;
    try {
      const status = readFileSync(`/proc/${this.child.pid}/status`, 'utf8');
      const kilobytes = Number(/^VmRSS:\s+(\d+)/m.exec(status)?.[1] ?? 0);
      const descriptors = readdirSync(`/proc/${this.child.pid}/fd`).length;
      this.peak = {
        rssBytes: Math.max(this.peak.rssBytes, kilobytes * bytesPerKilobyte),
        descriptors: Math.max(this.peak.descriptors, descriptors),
      };
    } catch {
      // The process has just ended.
    }
  }
}
