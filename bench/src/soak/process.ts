import { closeSync, fstatSync, openSync } from 'node:fs';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { Failure } from '@laburnumstream/common';
import { PlatformProgram } from '../platformProgram.js';
import type { PlatformMain, SettingsLines } from '../platformProgram.js';
import { SoakRule } from './history.js';
import type { SoakHistory } from './history.js';
import { SoakBounds } from './shape.js';

/** Time beyond the shutdown bound before a stopping program is killed, in milliseconds. */
const stopMarginMs = 4_000;
/** Time limit for a new process to write its first log line, in milliseconds. */
const startTimeoutMs = 20_000;
const startPollMs = 50;

/** How a soak runs a program. */
export interface ProcessOptions {
  /** Directory of the built programs. */
  readonly directory: string;
  /** Directory of the log files. */
  readonly logs: string;
  readonly metricsPort: number;
}

/** A program under test; an exit that the soak did not request is a violation. */
export class SoakProcess {
  private readonly program: PlatformProgram;

  private readonly log: number;

  /** Number of starts, to match an exit with the start that it belongs to. */
  private starts = 0;

  /** Whether the soak has requested the exit. */
  private isExitExpected = true;

  private isKilled = false;

  /** Size of the log at the last start, in bytes. */
  private logSizeAtStart = 0;

  private isRestarting = false;

  /**
   * Whether it was paused since it was last asked to stop; a paused process may miss the shutdown
   * bound.
   */
  private wasPaused = false;

  private isPaused = false;

  constructor(
    readonly name: string,
    main: PlatformMain,
    settings: SettingsLines,
    options: ProcessOptions,
    private readonly history: SoakHistory,
  ) {
    const { directory, logs, metricsPort } = options;
    this.log = openSync(join(logs, `${name}.log`), 'a');
    this.program = new PlatformProgram({ main, directory, log: this.log, metricsPort });
    this.program.write(settings);
  }

  get isRunning(): boolean {
    return this.program.isRunning;
  }

  async start(): Promise<void> {
    this.starts += 1;
    this.isExitExpected = false;
    this.isKilled = false;
    this.logSizeAtStart = this.logSize;
    this.isPaused = false;
    await this.program.start();
    void this.watchExit(this.starts);
  }

  /** Starts the process and waits for its first log line; throws a `Failure` if none comes. */
  async startAndWait(): Promise<void> {
    await this.start();
    const deadline = this.history.now() + startTimeoutMs;
    while (this.logSize === this.logSizeAtStart) {
      if (!this.isRunning || this.history.now() > deadline) {
        const reason = /^\w*Error.*$/m.exec(this.program.errors)?.[0] ?? this.program.errors.trim();
        throw new Failure('process_not_started', `${this.name} can't be started: ${reason}`);
      }
      await sleep(startPollMs);
    }
  }

  /** Suspends the process with SIGSTOP. */
  pause(): void {
    this.isPaused = true;
    this.wasPaused = true;
    if (this.isRunning) this.program.signal('SIGSTOP');
  }

  resume(): void {
    this.isPaused = false;
    if (this.isRunning) this.program.signal('SIGCONT');
  }

  /** Runs `work`, which stops and starts the process, unless another restart is in progress. */
  async restartExclusively(work: () => Promise<void>): Promise<void> {
    if (this.isRestarting) return;
    this.isRestarting = true;
    try {
      await work();
    } finally {
      this.isRestarting = false;
    }
  }

  /** Sends SIGTERM, and kills the program when it does not exit in time. */
  async stop(): Promise<void> {
    if (!this.isRunning) return;
    this.isExitExpected = true;
    this.wasPaused = this.isPaused;
    this.program.signal('SIGTERM');
    const limitMs = SoakBounds.shutdownMs + stopMarginMs;
    const timeout = sleep(limitMs, 'late' as const, { ref: false });
    const exit = await Promise.race([this.program.waitForExit(), timeout]);
    // Before its first log line a program has no signal handler yet, so SIGTERM itself ends it.
    const hadStarted = this.logSize > this.logSizeAtStart;
    if (exit !== 0 && hadStarted && !this.isKilled && !this.wasPaused) {
      this.history.recordViolation(SoakRule.process, `${this.name} ended as ${exit} after SIGTERM`);
    }
    await this.kill();
  }

  async kill(): Promise<void> {
    this.isExitExpected = true;
    this.isKilled = true;
    if (this.isRunning) this.program.signal('SIGKILL');
    await this.program.waitForExit();
  }

  async close(): Promise<void> {
    await this.kill();
    closeSync(this.log);
  }

  private get logSize(): number {
    return fstatSync(this.log).size;
  }

  private async watchExit(start: number): Promise<void> {
    const code = await this.program.waitForExit();
    if (start !== this.starts || this.isExitExpected) return;
    const text = `${this.name} exited unexpectedly with ${code}: ${this.program.errors.slice(-300)}`;
    this.history.recordViolation(SoakRule.process, text);
  }
}
