/** Number of buckets that a window is divided into. */
const bucketCount = 20;

/** Counts events in a time window that slides in steps of one bucket. */
export class SlidingWindowCounter {
  private readonly buckets: Float64Array;

  private readonly bucketMs: number;

  /** Number of the newest bucket since time 0. */
  private newestBucket = 0;

  private sum = 0;

  constructor(
    windowMs: number,
    /** Whether every event of the window counts, at the cost of including some up to a step older. */
    coversWindow = false,
  ) {
    this.bucketMs = windowMs / bucketCount;
    this.buckets = new Float64Array(coversWindow ? bucketCount + 1 : bucketCount);
  }

  add(count: number, now: number): void {
    this.advance(now);
    this.buckets[this.newestBucket % this.buckets.length]! += count;
    this.sum += count;
  }

  total(now: number): number {
    this.advance(now);
    return this.sum;
  }

  private advance(now: number): void {
    const current = Math.floor(now / this.bucketMs);
    if (current <= this.newestBucket) return;
    const { length } = this.buckets;
    const first = Math.max(this.newestBucket + 1, current - length + 1);
    for (let bucket = first; bucket <= current; bucket += 1) {
      this.sum -= this.buckets[bucket % length]!;
      this.buckets[bucket % length] = 0;
    }
    this.newestBucket = current;
  }
}
