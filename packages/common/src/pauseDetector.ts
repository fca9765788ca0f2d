/** A look at the clocks after the one before. */
export interface PauseCheck {
  /** Whether the process stood still in between. */
  readonly paused: boolean;
  /** Monotonic time since the look before, in milliseconds. */
  readonly gapMs: number;
}

/**
 * Notices that the process stood still: stopped, swapped out, or its instance suspended. The
 * monotonic clock shows the first two; a suspended machine shows only on the wall clock.
 */
export class PauseDetector {
  private lastNow: number;

  private lastWall: number;

  constructor(
    now: number,
    wall: number,
    /** Time between two looks that counts as a pause, in milliseconds. */
    private readonly limitMs: number,
  ) {
    this.lastNow = now;
    this.lastWall = wall;
  }

  /** Looks at the clocks. */
  check(now: number, wall: number): PauseCheck {
    const gapMs = now - this.lastNow;
    const wallGapMs = wall - this.lastWall;
    this.lastNow = now;
    this.lastWall = wall;
    return { paused: Math.max(gapMs, wallGapMs) > this.limitMs, gapMs };
  }
}
