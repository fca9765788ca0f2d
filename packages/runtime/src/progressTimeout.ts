/** Limits of a transfer, in milliseconds. */
export interface ProgressLimits {
  /** Time until the first progress. */
  readonly firstMs: number;
  /** Time between two steps of progress. */
  readonly stallMs: number;
  /** Time in all. */
  readonly totalMs: number;
}

/**
 * Aborts a transfer that makes no progress. A limit on its duration alone would abort each large transfer
 * over a slow link, and a repeated one would never succeed.
 */
export class ProgressTimeout {
  private readonly controller = new AbortController();

  private readonly abortWithOwner = (): void => this.controller.abort(this.owner?.reason);

  private readonly totalTimer: NodeJS.Timeout;

  private stallTimer: NodeJS.Timeout;

  constructor(
    private readonly limits: ProgressLimits,
    private readonly owner?: AbortSignal,
  ) {
    this.totalTimer = this.startTimer('The transfer takes too long.', limits.totalMs);
    this.stallTimer = this.startTimer('No response arrives.', limits.firstMs);
    if (owner?.aborted) this.abortWithOwner();
    else owner?.addEventListener('abort', this.abortWithOwner, { once: true });
  }

  /** Fires when a limit is exceeded or with the owner's signal. */
  get signal(): AbortSignal {
    return this.controller.signal;
  }

  /** Records that a part has arrived. */
  recordProgress(): void {
    clearTimeout(this.stallTimer);
    this.stallTimer = this.startTimer('The response stopped arriving.', this.limits.stallMs);
  }

  /** Stops the timers; to be called when the transfer has ended. */
  end(): void {
    clearTimeout(this.totalTimer);
    clearTimeout(this.stallTimer);
    this.owner?.removeEventListener('abort', this.abortWithOwner);
  }

  private startTimer(reason: string, ms: number): NodeJS.Timeout {
    return setTimeout(() => this.controller.abort(new DOMException(reason, 'TimeoutError')), ms);
  }
}
