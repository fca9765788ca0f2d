/** Time constant with which samples lose weight, in milliseconds. */
const decayMs = 10_000;
/** Weight of all samples below which the mean is unknown: that of one sample after about a minute. */
const minWeight = 0.003;

/** A mean of samples that lose weight with their age. */
export class DecayingMean {
  private sum = 0;

  private weight = 0;

  private decayedAt = 0;

  /** Adds a sample. */
  add(value: number, now: number): void {
    this.decay(now);
    this.sum += value;
    this.weight += 1;
  }

  /** Weight of the samples. */
  weightAt(now: number): number {
    this.decay(now);
    return this.weight;
  }

  /** The mean; undefined if the samples are too old. */
  at(now: number): number | undefined {
    return this.weightAt(now) < minWeight ? undefined : this.sum / this.weight;
  }

  private decay(now: number): void {
    const factor = Math.exp((this.decayedAt - now) / decayMs);
    this.decayedAt = now;
    this.sum *= factor;
    this.weight *= factor;
  }
}
