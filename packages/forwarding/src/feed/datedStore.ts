import { HistoryLost } from '@laburnumstream/common';
import type {
  Clock,
  DatedChanges,
  DatedFeed,
  DatedSnapshot,
  FleetBounds,
  Provenance,
  StoreFeed,
  StorePosition,
} from '@laburnumstream/common';
import { ChangeDating, confirmedUntil } from '@laburnumstream/decisions';
import type { ChangeDate } from '@laburnumstream/decisions';

/** Time for which a new process still uses versions older than the named ones, in milliseconds. */
const restartGraceMs = 2_500;

function describe({ changedAt, unseenMs }: ChangeDate, calledAt: number): Provenance {
  return { proofAgeMs: 0, changeAgeMs: calledAt - changedAt, unseenMs, outage: undefined };
}

/** A store that may be asked at little cost whether it responds. */
export interface ProbedStore extends StoreFeed {
  /** Rejects if the store does not respond. */
  readonly ping?: (signal?: AbortSignal) => Promise<void>;
}

/** A store whose responses are dated by what it has confirmed before. */
export class DatedStore implements DatedFeed {
  /** To be told of content that was read elsewhere, too. */
  readonly dating: ChangeDating;

  constructor(
    private readonly store: ProbedStore,
    /** Runs during a suspension too, as the time to act on a change does. */
    private readonly clock: Pick<Clock, 'now'>,
    { versionMs }: Pick<FleetBounds, 'versionMs'>,
  ) {
    // It is unknown when the versions in the first snapshot were named, so they count as nearly due.
    const lookbackMs = Math.max(0, versionMs - restartGraceMs);
    this.dating = new ChangeDating(clock.now(), lookbackMs);
  }

  /** Resolves if the store responds, or can't be asked at little cost. */
  async ping(signal: AbortSignal): Promise<void> {
    await this.countFailure(() => this.store.ping?.(signal) ?? Promise.resolve(), signal);
  }

  async snapshot(
    prefix: string,
    signal?: AbortSignal,
    onProgress?: () => void,
    claim?: () => void,
  ): Promise<DatedSnapshot> {
    const calledAt = this.clock.now();
    const content = await this.countFailure(
      () => this.store.snapshot(prefix, signal, onProgress),
      signal,
      claim,
    );
    const date = this.dating.dateChanges(this.clock.now());
    this.dating.recordResponse(calledAt);
    return { ...content, provenance: describe(date, calledAt) };
  }

  async changes(
    prefix: string,
    after: StorePosition,
    waitMs: number,
    signal?: AbortSignal,
    onProgress?: () => void,
    claim?: () => void,
  ): Promise<DatedChanges> {
    const calledAt = this.clock.now();
    const content = await this.countFailure(
      () => this.store.changes(prefix, after, waitMs, signal, onProgress),
      signal,
      claim,
    );
    const receivedAt = this.clock.now();
    const date = this.dating.dateChanges(receivedAt);
    const isUnchanged = content.changes.length === 0;
    this.dating.recordResponse(confirmedUntil({ calledAt, receivedAt, waitMs, isUnchanged }));
    return { ...content, provenance: describe(date, calledAt) };
  }

  /**
   * A lost history is a response, too. `claim` throws for a response that its caller drops: what was not passed on must
   * not count as known.
   */
  private async countFailure<Content>(
    call: () => Promise<Content>,
    signal: AbortSignal | undefined,
    claim: () => void = () => undefined,
  ): Promise<Content> {
    try {
      const content = await call();
      claim();
      return content;
    } catch (error) {
      if (!signal?.aborted && !(error instanceof HistoryLost)) this.dating.recordFailure();
      throw error;
    }
  }
}
