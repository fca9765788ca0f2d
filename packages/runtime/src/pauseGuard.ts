import { PauseDetector, toFailure } from '@laburnumstream/common';
import type { Clock, Log } from '@laburnumstream/common';

const checkIntervalMs = 250;

/** Revalidates the state of the process after a pause of `gapMs`. */
export type Revalidation = (gapMs: number) => Promise<void>;

/** Prevents a process that was paused from acting on stale state until that has been revalidated. */
export class PauseGuard {
  private readonly detector: PauseDetector;

  private pendingRevalidation: Promise<void> | undefined;

  constructor(
    private readonly clock: Clock,
    limitMs: number,
    private readonly revalidate: Revalidation,
    private readonly log: Log,
  ) {
    this.detector = new PauseDetector(clock.now(), clock.wall(), limitMs);
  }

  /** Whether the process may act on its state. Checks the clocks; cheap enough for every request. */
  isSettled(): boolean {
    const { paused, gapMs } = this.detector.check(this.clock.now(), this.clock.wall());
    if (paused) this.startRevalidation(gapMs);
    return this.pendingRevalidation === undefined;
  }

  /** Resolves when the process may act on its state. */
  async waitUntilSettled(): Promise<void> {
    if (!this.isSettled()) await this.pendingRevalidation;
  }

  /** Checks the clocks periodically until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.isSettled();
      await this.clock.sleep(checkIntervalMs, signal).catch(() => undefined);
    }
  }

  private startRevalidation(gapMs: number): void {
    this.log.warn('The process was paused.', { gapMs: Math.round(gapMs) });
    const previous = this.pendingRevalidation ?? Promise.resolve();
    const pending = previous.then(() => this.runRevalidation(gapMs));
    this.pendingRevalidation = pending;
    void pending.then(() => {
      if (this.pendingRevalidation === pending) this.pendingRevalidation = undefined;
    });
  }

  private async runRevalidation(gapMs: number): Promise<void> {
    try {
      await this.revalidate(gapMs);
    } catch (error) {
      this.log.warn('Revalidation after a pause failed.', { type: toFailure(error).type });
    }
  }
}
