/** Samples before the baseline counts. */
const baselineSamples = 20;
const smoothing = 0.1;
/** Ratio to the baseline above which a sample counts as a jump. */
const jumpRatio = 4;
/** Least excess over the baseline, so that short pauses of a process do not count. */
const leastExcessMs = 50;
/** Samples in a row above the threshold that make a jump. */
const jumpSamples = 5;

/** Notices a lasting jump of first-token latency, a sign that the endpoint lost its caches. */
export class LatencyJumpDetector {
  private baselineMs = 0;

  private samples = 0;

  private slowInRow = 0;

  /** Takes a sample and returns whether it completes a jump. */
  observe(ms: number): boolean {
    if (this.samples < baselineSamples) {
      this.samples += 1;
      this.baselineMs += (ms - this.baselineMs) / this.samples;
      return false;
    }
    const isSlow = ms > this.baselineMs * jumpRatio && ms > this.baselineMs + leastExcessMs;
    this.slowInRow = isSlow ? this.slowInRow + 1 : 0;
    if (!isSlow) this.baselineMs += (ms - this.baselineMs) * smoothing;
    if (this.slowInRow < jumpSamples) return false;
    this.reset();
    return true;
  }

  private reset(): void {
    this.baselineMs = 0;
    this.samples = 0;
    this.slowInRow = 0;
  }
}
