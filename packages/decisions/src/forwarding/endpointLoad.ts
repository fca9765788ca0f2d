/** What an endpoint, or the process beside it, said of its load. */
export interface ReportedLoad {
  readonly running: number;
  readonly waiting: number;
  /** Factor by which it works slower than its profile says. */
  readonly pace: number;
}

/** Age of a report after which it says nothing any more, in milliseconds. */
const staleMs = 1_500;

/** Load of one endpoint as one entry knows it: the last report, and its own requests since then. */
export class EndpointLoad {
  /** This entry's requests at the endpoint. */
  own = 0;

  /** Time for prompts of own requests that have not shown an event, in milliseconds. */
  unreadMs = 0;

  pace = 1;

  /** Requests of other entries at the endpoint. */
  private others = 0;

  private reportedAt = -Infinity;

  get hasReport(): boolean {
    return this.reportedAt > -Infinity;
  }

  /** Takes a report of a moment at which `ownThen` requests of this entry were there. */
  report({ running, waiting, pace }: ReportedLoad, ownThen: number, now: number): void {
    this.others = Math.max(0, running + waiting - ownThen);
    this.pace = Math.max(1, pace);
    this.reportedAt = now;
  }

  /** Requests at the endpoint, running and waiting. */
  occupied(now: number): number {
    return this.own + (this.reportAgeMs(now) < staleMs ? this.others : 0);
  }

  reportAgeMs(now: number): number {
    return now - this.reportedAt;
  }

  start(readMs: number): void {
    this.own += 1;
    this.unreadMs += readMs;
  }

  /** The prompt of an own request has been read. */
  read(readMs: number): void {
    this.unreadMs = Math.max(0, this.unreadMs - readMs);
  }

  end(): void {
    this.own -= 1;
  }
}
