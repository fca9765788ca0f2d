/** Part of the most that an endpoint can hold at which its window starts. */
const startPart = 1 / 4;
/** Part of the most that an endpoint can hold below which its window never falls. */
const floorPart = 1 / 8;
/** Factors on the window after an answer that was slow, and after one that failed or was refused. */
const cutFactors = { slow: 0.7, failure: 0.5 } as const;
/** Factor on the expected time, and time beyond it in milliseconds, up to which an answer is as good as expected. */
const goodBound = { factor: 1.5, addedMs: 50 } as const;
/** Factor and added time beyond which an answer is slow: estimates err by less, and callers hardly notice less. */
const slowBound = { factor: 2.5, addedMs: 100 } as const;
/** Slow answers in a row that open a window where there was none. */
const maxSlowAnswers = 2;
/**
 * Time between two cuts for failures, in milliseconds: one cause makes several requests fail, some of them only with
 * their time-out for a first event.
 */
const failureIntervalMs = 1_000;
/** Time after a cut for which larger windows of other entries do not count: they have not heard of it, in milliseconds. */
const peerHoldMs = 200;
/** Time after the last cut from which the window grows exponentially again, in milliseconds. */
const recoveryMs = 1_000;
/** Growth in one round of answers after a cut, in requests. */
const additiveStep = 2;

/**
 * Time of one turn at free room, in milliseconds: within it, other entries hear that the room is taken, and waiting
 * requests are checked at least once.
 */
const turnMs = 30;

/** How entries that share a window take turns. */
export interface WindowTurn {
  /** Number of entries that share the window. */
  readonly sharers: number;
  /** Phase of this entry among them, from 0 to 1. */
  readonly phase: number;
}

const unshared: WindowTurn = { sharers: 1, phase: 0 };

/** Time that an answer of an endpoint took, and the time that was expected. */
export interface TimedAnswer {
  /** Time to the response of a plain service, or to the first event of an engine, in milliseconds. */
  readonly ms: number;
  /** Time that was expected when the request was sent, in milliseconds. */
  readonly expectedMs: number;
  /** Monotonic time at which the request was sent, in milliseconds. */
  readonly sentAt: number;
}

/** What another entry reports of its window at the same endpoint. */
export interface PeerWindow {
  /** Undefined while the window of that entry does not limit it. */
  readonly window: number | undefined;
  /** Whether that entry has requests there. */
  readonly hasRequests: boolean;
}

/** Whether an answer took no longer than expected, or much longer. */
function isWithin(
  { ms, expectedMs }: TimedAnswer,
  bound: { readonly factor: number; readonly addedMs: number },
): boolean {
  return ms <= expectedMs * bound.factor + bound.addedMs;
}

/**
 * Window of concurrent requests that an endpoint can take, found by slow start and AIMD: it doubles with each
 * round of good answers up to the threshold, then grows by a constant step, and is cut by a factor at once after
 * a bad answer. It ends when it no longer limits. Entries of a region follow each other's growth and cuts.
 */
export class ConcurrencyWindow {
  /** Whether it limits requests; its state is kept in any case. */
  isEnabled = false;

  /** Undefined while it does not limit. */
  private limit: number | undefined;

  private threshold = Infinity;

  /** Answers to requests that were sent before do not count. */
  private cutAt = -Infinity;

  private slowAnswers = 0;

  /** Whether this entry has itself observed a reason for the window, instead of following a peer. */
  private hasCause = false;

  private cuts = 0;

  /** Whether a request of this entry has ended, of which the others have not heard. */
  private hasFreed = false;

  /** Turns of the last check and of the last request. */
  private checkedTurn = 0;

  private usedTurn = -1;

  constructor(
    /** Most requests that the endpoint can hold. */
    private readonly getMax: () => number,
  ) {}

  /** Number of concurrent requests; undefined while it does not limit them. */
  get value(): number | undefined {
    return this.isEnabled && this.limit !== undefined ? Math.floor(this.limit) : undefined;
  }

  /** Number of cuts so far. */
  get cutCount(): number {
    return this.cuts;
  }

  /**
   * Whether one more request may be sent while `outstanding` are at the endpoint. Room that is smaller than the
   * number of entries is taken in turns, as all of them see it at once. An entry fills what it has freed itself.
   */
  allows(outstanding: number, now: number, { sharers, phase } = unshared): boolean {
    const room = (this.value ?? Infinity) - outstanding;
    const turn = Math.floor(now / turnMs);
    this.checkedTurn = turn;
    if (room <= 0 || room >= sharers || this.hasFreed) return room > 0;
    if (turn === this.usedTurn) return false;
    return (turn + Math.floor(phase * sharers)) % sharers < room;
  }

  /** Records that a request has been sent, in the turn of the last check. */
  recordSend(): void {
    this.hasFreed = false;
    this.usedTurn = this.checkedTurn;
  }

  /** Records that a request of this entry has ended, or that others have heard so. */
  recordFreed(hasFreed: boolean): void {
    this.hasFreed = hasFreed;
  }

  /** Opens the window for an endpoint that this entry does not know; other entries may. */
  openForUnknown(): void {
    this.limit = this.startLimit;
    this.threshold = this.getMax();
  }

  /** Opens the window again for an endpoint that has changed: it recovered, turned cold or came back. */
  restart(now: number): void {
    this.openForUnknown();
    this.cutAt = now;
    this.slowAnswers = 0;
    this.hasCause = true;
  }

  /** Records an answer; `outstanding` requests, without it, are at the endpoint. */
  recordAnswer(answer: TimedAnswer, outstanding: number, now: number): void {
    if (answer.sentAt < this.cutAt) return;
    if (!isWithin(answer, slowBound)) this.recordSlowAnswer(outstanding, now);
    else if (isWithin(answer, goodBound)) this.grow(outstanding, now);
  }

  /** Records a request that failed, timed out or was refused. */
  recordFailure(outstanding: number, now: number): void {
    if (now - this.cutAt >= failureIntervalMs) this.cut(cutFactors.failure, outstanding, now);
  }

  /** Follows the report of another entry; `before` is its previous report, undefined if there is none. */
  followPeer(
    before: PeerWindow | undefined,
    { window, hasRequests }: PeerWindow,
    now: number,
  ): void {
    const isSilent = window === undefined && !hasRequests;
    if (isSilent || (before?.window === undefined && !before?.hasRequests)) {
      if (!isSilent && !this.hasCause) this.limit = window;
      return;
    }
    const [last, next] = [before.window ?? Infinity, window ?? Infinity];
    // Each entry that sees a fault cuts by itself, so that one alone can't bring the window to the floor.
    if (next < last && next < (this.limit ?? Infinity))
      this.shrinkTo(Math.max(next, this.current * cutFactors.slow), now);
    else if (next > last && now - this.cutAt >= peerHoldMs) this.growTo(next);
  }

  private get startLimit(): number {
    return Math.max(this.floor, Math.ceil(this.getMax() * startPart));
  }

  private get floor(): number {
    return Math.max(1, Math.ceil(this.getMax() * floorPart));
  }

  /** The limit, or the most that the endpoint can hold. */
  private get current(): number {
    return this.limit ?? this.getMax();
  }

  private recordSlowAnswer(outstanding: number, now: number): void {
    this.slowAnswers += 1;
    if (this.limit === undefined && this.slowAnswers < maxSlowAnswers) return;
    this.cut(cutFactors.slow, outstanding, now);
  }

  private grow(outstanding: number, now: number): void {
    this.slowAnswers = 0;
    // A window that is not used tells nothing about what the endpoint can take.
    if (this.limit === undefined || (outstanding + 1) * 2 < this.limit) return;
    if (now - this.cutAt >= recoveryMs) this.threshold = this.getMax();
    this.growTo(this.limit + (this.limit < this.threshold ? 1 : additiveStep / this.limit));
  }

  private growTo(limit: number): void {
    if (this.limit === undefined || limit <= this.limit) return;
    this.limit = limit < this.getMax() ? limit : undefined;
  }

  private cut(factor: number, outstanding: number, now: number): void {
    // Without a limit, what the endpoint held shows what it could not take.
    const base = this.limit ?? Math.min(this.getMax(), outstanding + 1);
    this.shrinkTo(base * factor, now);
  }

  private shrinkTo(limit: number, now: number): void {
    this.limit = Math.max(this.floor, limit);
    this.threshold = this.limit;
    this.cutAt = now;
    this.slowAnswers = 0;
    this.hasCause = true;
    this.cuts += 1;
  }
}
