const windowMs = 500;
const smoothing = 0.4;

/** Exponentially smoothed rate of finished work. */
export class WorkRate {
  private units = 0;

  private startedAt: number | undefined;

  private smoothed = 0;

  /** Work units finished per millisecond; 0 while unknown. */
  get perMs(): number {
    return this.smoothed;
  }

  recordFinished(units: number, now: number): void {
    this.startedAt ??= now;
    const elapsed = now - this.startedAt;
    this.units += units;
    if (elapsed < windowMs) return;
    const rate = this.units / elapsed;
    this.smoothed += (rate - this.smoothed) * (this.smoothed === 0 ? 1 : smoothing);
    this.units = 0;
    this.startedAt = now;
  }

  /** Discards the rate after a change of the endpoint's state. */
  reset(): void {
    this.units = 0;
    this.startedAt = undefined;
    this.smoothed = 0;
  }
}
