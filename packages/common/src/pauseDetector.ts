/** Result of comparing the clocks with the previous check. */
export interface PauseCheck {
  /** Whether the process was paused since the previous check. */
  readonly paused: boolean;
  /** Monotonic time since the previous check, in milliseconds. */
  readonly gapMs: number;
}

/**
 * Detects that the process was paused: stopped, swapped out, or its instance suspended. The first two
 * show as a gap on the monotonic clock, a suspended instance only on the wall clock.
 */
export class PauseDetector {
  private lastNow: number;

  private lastWall: number;

  constructor(
    now: number,
    wall: number,
    /** Time between two checks above which the process counts as paused, in milliseconds. */
    private readonly limitMs: number,
  ) {
    this.lastNow = now;
    this.lastWall = wall;
  }

  /** Compares the clocks with the previous check. */
  check(now: number, wall: number): PauseCheck {
    const gapMs = now - this.lastNow;
    const wallGapMs = wall - this.lastWall;
    this.lastNow = now;
    this.lastWall = wall;
    return { paused: Math.max(gapMs, wallGapMs) > this.limitMs, gapMs };
  }
}
