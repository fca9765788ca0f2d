/** Buckets into which a window is divided. */
const bucketCount = 20;

/** Counts events over a window of time that slides in small steps. */
export class SlidingCount {
  private readonly buckets = new Float64Array(bucketCount);

  private readonly bucketMs: number;

  /** Number of the newest bucket since time 0. */
  private newest = 0;

  private sum = 0;

  constructor(windowMs: number) {
    this.bucketMs = windowMs / bucketCount;
  }

  add(count: number, now: number): void {
    this.advance(now);
    this.buckets[this.newest % bucketCount]! += count;
    this.sum += count;
  }

  total(now: number): number {
    this.advance(now);
    return this.sum;
  }

  private advance(now: number): void {
    const current = Math.floor(now / this.bucketMs);
    if (current <= this.newest) return;
    const first = Math.max(this.newest + 1, current - bucketCount + 1);
    for (let bucket = first; bucket <= current; bucket += 1) {
      this.sum -= this.buckets[bucket % bucketCount]!;
      this.buckets[bucket % bucketCount] = 0;
    }
    this.newest = current;
  }
}
