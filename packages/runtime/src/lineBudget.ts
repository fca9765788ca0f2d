/** Lines of one kind that may be written in a second. */
const linesPerSecond = 100;
const secondMs = 1_000;

/** Lines of one kind in the present second. */
interface Kind {
  second: number;
  written: number;
  leftOut: number;
}

/** How many lines of a kind were left out in a second. */
export interface LeftOut {
  readonly kind: string;
  readonly lines: number;
}

/** Bounds the lines of each kind in a second, and counts those that are left out. */
export class LineBudget {
  private readonly kinds = new Map<string, Kind>();

  constructor(private readonly limit = linesPerSecond) {}

  /** Whether a line of a kind may be written at `now`, in monotonic milliseconds. */
  takes(kind: string, now: number): boolean {
    const second = Math.floor(now / secondMs);
    let state = this.kinds.get(kind);
    if (!state) {
      state = { second, written: 0, leftOut: 0 };
      this.kinds.set(kind, state);
    }
    if (state.second !== second) {
      state.second = second;
      state.written = 0;
    }
    if (state.written >= this.limit) {
      state.leftOut += 1;
      return false;
    }
    state.written += 1;
    return true;
  }

  /** The kinds of which lines were left out since the last call. */
  takeLeftOut(): LeftOut[] {
    const found: LeftOut[] = [];
    this.kinds.forEach((state, kind) => {
      if (state.leftOut > 0) found.push({ kind, lines: state.leftOut });
      Object.assign(state, { leftOut: 0 });
    });
    return found;
  }
}
