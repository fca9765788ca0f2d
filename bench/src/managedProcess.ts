import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { readFileSync, writeFileSync } from 'node:fs';
import { createRequire } from 'node:module';

const require = createRequire(import.meta.url);
const { resolve } = require;

/** The product's programs. */
export const Program = { entry: 'entry', agent: 'agent', cli: 'cli' } as const;

/** One of the values of {@link Program}. */
export type Program = (typeof Program)[keyof typeof Program];

function buildArguments(program: Program, settingsFile: string): string[] {
  const agentMain = resolve('@laburnumstream/agent').replace('index.js', 'main.js');
  if (program === Program.agent) return [agentMain, '--settings', settingsFile];
  const cliMain = resolve('@laburnumstream/agent').replace(
    'agent/dist/index.js',
    'cli/dist/main.js',
  );
  return [cliMain, 'entry', '--settings', settingsFile];
}

/** A product process under test; signals go to its own process id only. */
export class ManagedProcess {
  private child: ChildProcess | undefined;

  private output = '';

  constructor(
    readonly name: string,
    private readonly program: Program,
    private readonly settingsFile: string,
    private readonly echo = false,
  ) {}

  get pid(): number {
    return this.child?.pid ?? 0;
  }

  /** All output of the process so far. */
  get log(): string {
    return this.output;
  }

  get isRunning(): boolean {
    return this.child !== undefined && this.child.exitCode === null && !this.child.signalCode;
  }

  start(): this {
    const child = spawn(process.execPath, buildArguments(this.program, this.settingsFile), {
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const onOutput = (bytes: Buffer): void => {
      this.output += bytes.toString();
      if (this.echo) process.stderr.write(bytes);
    };
    child.stdout.on('data', onOutput);
    child.stderr.on('data', onOutput);
    this.child = child;
    return this;
  }

  /** Changes fields of the settings file without notifying the process. */
  changeSettings(fields: object): void {
    const text = readFileSync(this.settingsFile, 'utf8').replace(/^\/\/.*$/gm, '');
    const settings = JSON.parse(text) as object;
    writeFileSync(this.settingsFile, JSON.stringify({ ...settings, ...fields }));
  }

  signal(name: NodeJS.Signals): void {
    this.child?.kill(name);
  }

  /** Waits for the exit and returns the exit code; null when a signal ended the process. */
  async waitForExit(): Promise<number | null> {
    const { child } = this;
    if (!child) return null;
    if (this.isRunning) await once(child, 'exit');
    return child.exitCode;
  }

  async stop(): Promise<number | null> {
    if (this.isRunning) this.signal('SIGTERM');
    return this.waitForExit();
  }

  async kill(): Promise<void> {
    if (this.isRunning) this.signal('SIGKILL');
    await this.waitForExit();
  }
}
