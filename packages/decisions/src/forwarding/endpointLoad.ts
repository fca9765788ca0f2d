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
  private ownUnreadMs = 0;

  pace = 1;

  /** Requests of other entries at the endpoint. */
  private others = 0;

  /** Own requests that were sent since the last report. */
  private startedSince = 0;

  private allowance = Infinity;

  private reportedAt = -Infinity;

  constructor(
    /** Other entries that send to the endpoint as this one does. */
    private readonly peers: () => number,
  ) {}

  get hasReport(): boolean {
    return this.reportedAt > -Infinity;
  }

  /**
   * Takes a report of a moment at which `ownThen` requests of this entry were there; `allowance` is
   * the number of requests that this entry may send until the next one.
   */
  report(
    { running, waiting, pace }: ReportedLoad,
    ownThen: number,
    allowance: number,
    now: number,
  ): void {
    this.allowance = allowance;
    this.others = Math.max(0, running + waiting - ownThen);
    this.pace = Math.max(1, pace);
    this.reportedAt = now;
    this.startedSince = 0;
  }

  /**
   * Requests at the endpoint, running and waiting. Entries see the same reports, so the others are
   * taken to have sent since then what this one has: else all would fill the same free slots.
   */
  occupied(now: number): number {
    if (this.reportAgeMs(now) >= staleMs) return this.own;
    return this.own + this.others + this.startedSince * this.peers();
  }

  /** Whether this entry's share of the room has place for one more request. */
  hasRoom(slots: number, now: number): boolean {
    if (this.reportAgeMs(now) < staleMs) return this.startedSince < this.allowance;
    return this.own < Math.max(1, slots / (1 + this.peers()));
  }

  /** Time for prompts that are not read yet, in milliseconds; the others are taken to do the same. */
  get unreadMs(): number {
    return this.ownUnreadMs * (1 + this.peers());
  }

  reportAgeMs(now: number): number {
    return now - this.reportedAt;
  }

  start(readMs: number): void {
    this.own += 1;
    this.startedSince += 1;
    this.ownUnreadMs += readMs;
  }

  /** The prompt of an own request has been read. */
  read(readMs: number): void {
    this.ownUnreadMs = Math.max(0, this.ownUnreadMs - readMs);
  }

  /** An own request has ended: its place is this entry's to fill again. */
  end(): void {
    this.own -= 1;
    this.allowance += 1;
  }
}
