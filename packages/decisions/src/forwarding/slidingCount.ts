/** Buckets into which a window is divided. */
const bucketCount = 20;

/** Counts events over a window of time that slides in small steps. */
export class SlidingWindowCounter {
  private readonly buckets: Float64Array;

  private readonly bucketMs: number;

  /** Number of the newest bucket since time 0. */
  private newest = 0;

  private sum = 0;

  constructor(
    windowMs: number,
    /** Whether no event of the window is left out: then some that are up to a step older count too. */
    isCovering = false,
  ) {
    this.bucketMs = windowMs / bucketCount;
    this.buckets = new Float64Array(isCovering ? bucketCount + 1 : bucketCount);
  }

  add(count: number, now: number): void {
    this.advance(now);
    this.buckets[this.newest % this.buckets.length]! += count;
    this.sum += count;
  }

  total(now: number): number {
    this.advance(now);
    return this.sum;
  }

  private advance(now: number): void {
    const current = Math.floor(now / this.bucketMs);
    if (current <= this.newest) return;
    const { length } = this.buckets;
    const first = Math.max(this.newest + 1, current - length + 1);
    for (let bucket = first; bucket <= current; bucket += 1) {
      this.sum -= this.buckets[bucket % length]!;
      this.buckets[bucket % length] = 0;
    }
    this.newest = current;
  }
}
