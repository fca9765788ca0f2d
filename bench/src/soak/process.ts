import { closeSync, fstatSync, openSync } from 'node:fs';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { Failure } from '@laburnumstream/common';
import { PlatformProgram } from '../platformProgram.js';
import type { PlatformMain, SettingsLines } from '../platformProgram.js';
import { SoakRule } from './history.js';
import type { SoakHistory } from './history.js';
import { SoakBounds } from './shape.js';

/** Time beyond the bound in which a program that was asked to stop has to end, in milliseconds. */
const stopSlackMs = 4_000;
/** Time in which a new process has to say that it has started, in milliseconds. */
const startMs = 20_000;
const startLookMs = 50;

/** How a soak runs its programs. */
export interface ProcessChoices {
  readonly directory: string;
  readonly logs: string;
  readonly metricsPort: number;
}

/** A program of the product under faults: its ends are asked for, or count as broken promises. */
export class SoakProcess {
  private readonly program: PlatformProgram;

  private readonly log: number;

  /** Counts the starts, so that an older start's end is not taken for a newer one's. */
  private starts = 0;

  /** Whether an end is asked for. */
  private isEnding = true;

  private isKilled = false;

  /** Bytes of the log before the last start. */
  private loggedBefore = 0;

  private isClaimed = false;

  /** Whether it was paused since it was last asked to stop. */
  private wasPaused = false;

  private isPaused = false;

  constructor(
    readonly name: string,
    main: PlatformMain,
    settings: SettingsLines,
    choices: ProcessChoices,
    private readonly history: SoakHistory,
  ) {
    const { directory, logs, metricsPort } = choices;
    this.log = openSync(join(logs, `${name}.log`), 'a');
    this.program = new PlatformProgram({ main, directory, log: this.log, metricsPort });
    this.program.write(settings);
  }

  get isRunning(): boolean {
    return this.program.isRunning;
  }

  async start(): Promise<void> {
    this.starts += 1;
    this.isEnding = false;
    this.isKilled = false;
    this.loggedBefore = this.logged;
    this.isPaused = false;
    await this.program.start();
    void this.watch(this.starts);
  }

  /** Starts the process and waits until it has said so; throws when it cannot be started. */
  async startFirst(): Promise<void> {
    await this.start();
    const lateAt = this.history.now() + startMs;
    while (this.logged === this.loggedBefore) {
      if (!this.isRunning || this.history.now() > lateAt) {
        const said = /^\w*Error.*$/m.exec(this.program.errors)?.[0] ?? this.program.errors.trim();
        throw new Failure('process_not_started', `${this.name} can't be started: ${said}`);
      }
      await sleep(startLookMs);
    }
  }

  /** Pauses the process; what is asked of it meanwhile comes late. */
  pause(): void {
    this.isPaused = true;
    this.wasPaused = true;
    if (this.isRunning) this.program.signal('SIGSTOP');
  }

  resume(): void {
    this.isPaused = false;
    if (this.isRunning) this.program.signal('SIGCONT');
  }

  /** Ends and starts the process by `work`, unless that is being done already. */
  async exclusively(work: () => Promise<void>): Promise<void> {
    if (this.isClaimed) return;
    this.isClaimed = true;
    try {
      await work();
    } finally {
      this.isClaimed = false;
    }
  }

  /** Asks the program to stop, and kills it when it does not. */
  async stop(): Promise<void> {
    if (!this.isRunning) return;
    this.isEnding = true;
    this.wasPaused = this.isPaused;
    this.program.signal('SIGTERM');
    const limitMs = SoakBounds.shutdownMs + stopSlackMs;
    const late = sleep(limitMs, 'late' as const, { ref: false });
    const end = await Promise.race([this.program.waitForExit(), late]);
    // A program that has not come so far as to write a line is ended by the signal itself.
    const hadStarted = this.logged > this.loggedBefore;
    if (end !== 0 && hadStarted && !this.isKilled && !this.wasPaused) {
      this.history.violate(SoakRule.process, `${this.name} ended as ${end} after SIGTERM`);
    }
    await this.kill();
  }

  async kill(): Promise<void> {
    this.isEnding = true;
    this.isKilled = true;
    if (this.isRunning) this.program.signal('SIGKILL');
    await this.program.waitForExit();
  }

  async close(): Promise<void> {
    await this.kill();
    closeSync(this.log);
  }

  private get logged(): number {
    return fstatSync(this.log).size;
  }

  private async watch(start: number): Promise<void> {
    const code = await this.program.waitForExit();
    if (start !== this.starts || this.isEnding) return;
    const text = `${this.name} ended by itself with ${code}: ${this.program.errors.slice(-300)}`;
    this.history.violate(SoakRule.process, text);
  }
}
