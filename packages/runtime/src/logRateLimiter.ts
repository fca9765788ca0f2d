/** Default limit on the lines of each kind per second. */
const maxLinesPerSecond = 100;
const secondMs = 1_000;

/** Counters of one kind of lines. */
interface KindState {
  /** The second that `written` counts. */
  second: number;
  written: number;
  /** Lines suppressed since the last report. */
  suppressed: number;
}

/** Number of suppressed lines of one kind. */
export interface SuppressedLines {
  readonly kind: string;
  readonly lines: number;
}

/** Limits the log lines of each kind per second and counts the suppressed ones. */
export class LogRateLimiter {
  private readonly kinds = new Map<string, KindState>();

  constructor(private readonly limit = maxLinesPerSecond) {}

  /** Whether a line may be written at `now`, in monotonic milliseconds; counts it either way. */
  tryAcquire(kind: string, now: number): boolean {
    const second = Math.floor(now / secondMs);
    let state = this.kinds.get(kind);
    if (!state) {
      state = { second, written: 0, suppressed: 0 };
      this.kinds.set(kind, state);
    }
    if (state.second !== second) {
      state.second = second;
      state.written = 0;
    }
    if (state.written >= this.limit) {
      state.suppressed += 1;
      return false;
    }
    state.written += 1;
    return true;
  }

  /** Returns and resets the numbers of suppressed lines, for kinds that have any. */
  takeSuppressed(): SuppressedLines[] {
    const suppressed: SuppressedLines[] = [];
    this.kinds.forEach((state, kind) => {
      if (state.suppressed > 0) suppressed.push({ kind, lines: state.suppressed });
      Object.assign(state, { suppressed: 0 });
    });
    return suppressed;
  }
}
