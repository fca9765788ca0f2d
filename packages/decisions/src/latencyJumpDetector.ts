/** Samples that form the initial baseline. */
const baselineSamples = 20;
const smoothing = 0.1;
/** Ratio to the baseline above which a sample is slow. */
const slowRatio = 4;
/** Minimum excess of a slow sample over the baseline, so that short pauses of a process don't count. */
const minExcessMs = 50;
/** Consecutive slow samples that make a jump. */
const jumpSamples = 5;

/** Detects a lasting jump of the first-token latency, a sign that the endpoint lost its caches. */
export class LatencyJumpDetector {
  private baselineMs = 0;

  private samples = 0;

  private consecutiveSlow = 0;

  /** Adds a sample and returns whether it completes a jump. */
  observe(ms: number): boolean {
    if (this.samples < baselineSamples) {
      this.samples += 1;
      this.baselineMs += (ms - this.baselineMs) / this.samples;
      return false;
    }
    const isSlow = ms > this.baselineMs * slowRatio && ms > this.baselineMs + minExcessMs;
    this.consecutiveSlow = isSlow ? this.consecutiveSlow + 1 : 0;
    if (!isSlow) this.baselineMs += (ms - this.baselineMs) * smoothing;
    if (this.consecutiveSlow < jumpSamples) return false;
    this.reset();
    return true;
  }

  private reset(): void {
    this.baselineMs = 0;
    this.samples = 0;
    this.consecutiveSlow = 0;
  }
}
