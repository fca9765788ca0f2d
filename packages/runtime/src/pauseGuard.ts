import { PauseDetector, toFailure } from '@laburnumstream/common';
import type { Clock, Log } from '@laburnumstream/common';

const checkIntervalMs = 250;

/** Checks again what the process knew after it stood still; returns when that is done. */
export type Recheck = (gapMs: number) => Promise<void>;

/** Keeps a process that stood still from acting on what it knew before, until it has checked. */
export class PauseGuard {
  private readonly detector: PauseDetector;

  private checking: Promise<void> | undefined;

  constructor(
    private readonly clock: Clock,
    limitMs: number,
    private readonly recheck: Recheck,
    private readonly log: Log,
  ) {
    this.detector = new PauseDetector(clock.now(), clock.wall(), limitMs);
  }

  /** Whether the process may act on what it knows. Looks at the clocks: cheap enough for each request. */
  isSettled(): boolean {
    const { paused, gapMs } = this.detector.check(this.clock.now(), this.clock.wall());
    if (paused) this.startCheck(gapMs);
    return this.checking === undefined;
  }

  /** Resolves when the process may act on what it knows. */
  async waitUntilSettled(): Promise<void> {
    if (!this.isSettled()) await this.checking;
  }

  /** Looks at the clocks until the signal fires. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.isSettled();
      await this.clock.sleep(checkIntervalMs, signal).catch(() => undefined);
    }
  }

  private startCheck(gapMs: number): void {
    this.log.warn('The process stood still.', { gapMs: Math.round(gapMs) });
    const before = this.checking ?? Promise.resolve();
    const checking = before.then(() => this.check(gapMs));
    this.checking = checking;
    void checking.then(() => {
      if (this.checking === checking) this.checking = undefined;
    });
  }

  private async check(gapMs: number): Promise<void> {
    try {
      await this.recheck(gapMs);
    } catch (error) {
      this.log.warn('The check after a pause failed.', { type: toFailure(error).type });
    }
  }
}
