/** Lines of one kind that may be written in a second. */
const maxLinesPerSecond = 100;
const secondMs = 1_000;

/** Lines of one kind in the present second. */
interface KindState {
  second: number;
  written: number;
  suppressed: number;
}

/** How many lines of a kind were left out in a second. */
export interface SuppressedLines {
  readonly kind: string;
  readonly lines: number;
}

/** Bounds the lines of each kind in a second, and counts those that are left out. */
export class LogRateLimiter {
  private readonly kinds = new Map<string, KindState>();

  constructor(private readonly limit = maxLinesPerSecond) {}

  /** Whether a line of a kind may be written at `now`, in monotonic milliseconds. */
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

  /** The kinds of which lines were left out since the last call. */
  takeSuppressed(): SuppressedLines[] {
    const found: SuppressedLines[] = [];
    this.kinds.forEach((state, kind) => {
      if (state.suppressed > 0) found.push({ kind, lines: state.suppressed });
      Object.assign(state, { suppressed: 0 });
    });
    return found;
  }
}
