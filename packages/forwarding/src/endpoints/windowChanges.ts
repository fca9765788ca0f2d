/** Shortest time between two reported changes, in milliseconds; a window may change with each answer. */
const reportIntervalMs = 1_000;

/** A change of an endpoint's window; null where it does not limit. */
export interface WindowChange {
  readonly from: number | null;
  readonly to: number | null;
}

/** Combines the changes of an endpoint's window, so that at most one a second is logged. */
export class WindowChanges {
  private reported: number | undefined;

  private reportedAt = -Infinity;

  /** Returns the change since the last one that was returned, if it is to be reported now. */
  take(window: number | undefined, now: number): WindowChange | undefined {
    if (window === this.reported || now - this.reportedAt < reportIntervalMs) return undefined;
    const change = { from: this.reported ?? null, to: window ?? null };
    this.reported = window;
    this.reportedAt = now;
    return change;
  }
}
