import { PauseDetector, toFailure } from '@laburnumstream/common';
import type { Clock, Log } from '@laburnumstream/common';

const checkIntervalMs = 250;

/** Revalidates the state of the process after a pause of `gapMs`. */
export type Recheck = (gapMs: number) => Promise<void>;

/** Prevents a process that was paused from acting on stale state until that has been revalidated. */
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

  /** Whether the process may act on its state. Checks the clocks; cheap enough for every request. */
  isSettled(): boolean {
    const { paused, gapMs } = this.detector.check(this.clock.now(), this.clock.wall());
    if (paused) this.startCheck(gapMs);
    return this.checking === undefined;
  }

  /** Resolves when the process may act on its state. */
  async waitUntilSettled(): Promise<void> {
    if (!this.isSettled()) await this.checking;
  }

  /** Checks the clocks periodically until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.isSettled();
      await this.clock.sleep(checkIntervalMs, signal).catch(() => undefined);
    }
  }

  private startCheck(gapMs: number): void {
    this.log.warn('The process was paused.', { gapMs: Math.round(gapMs) });
    const previous = this.checking ?? Promise.resolve();
    const checking = previous.then(() => this.check(gapMs));
    this.checking = checking;
    void checking.then(() => {
      if (this.checking === checking) this.checking = undefined;
    });
  }

  private async check(gapMs: number): Promise<void> {
    try {
      await this.recheck(gapMs);
    } catch (error) {
      this.log.warn('Revalidation after a pause failed.', { type: toFailure(error).type });
    }
  }
}
