/** Bounds of the factor: a wrong statement must neither attract all requests nor repel all of them. */
const factorBounds = { min: 0.5, max: 20 } as const;
/** Time constant with which a statement gives way to the mean, in milliseconds: paces change within a second. */
const statementDecayMs = 500;
/** Time constant of the mean, in milliseconds. */
const meanMs = 10_000;
/** Longest time for which one statement counts in the mean, in milliseconds. */
const maxStatementMs = 1_000;
/** Time constant with which the mean of a silent endpoint returns to the usual time, in milliseconds. */
const meanDecayMs = 20_000;

/**
 * How long work takes on an endpoint's instance now, as a factor on the usual time, from what the endpoint and
 * its agent state. The last statement counts; with its age it gives way to the mean of the last seconds.
 */
export class EndpointPace {
  private stated: number | undefined;

  private statedAt = -Infinity;

  private mean = 1;

  /** Records a statement; the newest one counts. */
  record(factor: number, now: number): void {
    const bounded = Math.min(factorBounds.max, Math.max(factorBounds.min, factor));
    const sinceMs = Math.min(maxStatementMs, now - this.statedAt);
    const mean = this.meanAt(now);
    this.mean = mean + (bounded - mean) * (1 - Math.exp(-sinceMs / meanMs));
    this.stated = bounded;
    this.statedAt = now;
  }

  /** Returns the expected factor on the usual time; undefined if nothing has been stated. */
  factor(now: number): number | undefined {
    if (this.stated === undefined) return undefined;
    const mean = this.meanAt(now);
    return mean + (this.stated - mean) * Math.exp((this.statedAt - now) / statementDecayMs);
  }

  private meanAt(now: number): number {
    return 1 + (this.mean - 1) * Math.exp((this.statedAt - now) / meanDecayMs);
  }
}
