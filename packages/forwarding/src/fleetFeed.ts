import { HistoryLost, InvalidInput, SleepAwareClock, toFailure } from '@laburnumstream/common';
import type { Clock, Log, Metrics, StoreChange, StoreFeed } from '@laburnumstream/common';
import { DeferredRemovals, changeBatchWindowMs } from '@laburnumstream/decisions';
import type { FleetChange, FleetCodec } from './fleetChange.js';
import type { FleetState } from './fleetState.js';
import { StoreCall, StoreCallCounts } from './storeCallCounts.js';

/** Longest wait of one watch; its end proves that nothing has changed, in milliseconds. */
const watchMs = 1_000;
/** The same while endpoints may come back that seem to be gone, in milliseconds. */
const holdWatchMs = 250;
/** The same while the store does not answer, in milliseconds. */
const probeWatchMs = 50;
/** Time before the store's return is noticed in which changes may have been made, in milliseconds. */
const returnSlackMs = 1_000;
/** Time for which a new process uses older versions than the named ones, in milliseconds. */
const restartGraceMs = 2_500;
/** Time within which the answer to a watch comes when there was nothing to wait for. */
const promptMs = 15;
const firstPauseMs = 100;
const longestPauseMs = 300;

/** What a change says of a registration that lapses; without a key for other changes. */
interface Registration {
  readonly key?: string;
  readonly isGone?: boolean;
}

function registrationOf(change: FleetChange): Registration {
  if (change.kind === 'endpoint') {
    return { key: `endpoint ${change.id}`, isGone: change.endpoint === undefined };
  }
  if (change.kind === 'entry') {
    return { key: `entry ${change.name}`, isGone: change.place === undefined };
  }
  return {};
}

/** Is told of each call that the store answered, once its answer is taken. */
export interface StoreProof {
  /** The store has answered a call that began at `calledAt`. */
  confirm(calledAt: number): void;
}

/** Keeps the state of the fleet up to date with the store, and proves how old it is. */
export class FleetFeed {
  private revision: number | undefined;

  private pauseMs = firstPauseMs;

  /** Monotonic time of the last answer, before the first one of the start, in milliseconds. */
  private answeredAt: number;

  /** Time before the last answer at which changes may have been made that it did not tell. */
  private untoldMs: number;

  private isReachable = true;

  private readonly hold = new DeferredRemovals<FleetChange>();

  private readonly calls: StoreCallCounts;

  constructor(
    private readonly store: StoreFeed,
    private readonly codec: FleetCodec,
    private readonly state: FleetState,
    private readonly proof: StoreProof,
    private readonly proofClock: SleepAwareClock,
    private readonly clock: Clock,
    private readonly metrics: Metrics,
    private readonly log: Log,
    /** Time after a version's naming at which older ones are left, in milliseconds. */
    versionMs: number,
  ) {
    this.answeredAt = clock.now();
    this.calls = new StoreCallCounts(metrics);
    // When versions in the first list were named is not known: they count as nearly due.
    this.untoldMs = Math.max(0, versionMs - restartGraceMs);
  }

  /** Follows the store until the signal fires. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const calledAt = this.proofClock.now();
      const call = this.revision === undefined ? StoreCall.list : StoreCall.watch;
      try {
        if (this.revision === undefined) await this.list(signal);
        else await this.follow(this.revision, signal);
        this.proof.confirm(calledAt);
        this.calls.answered(call);
        this.reached();
        this.removeDue();
      } catch (error) {
        if (signal.aborted) return;
        this.calls.failed(call, error);
        await this.failed(error, signal);
      }
    }
  }

  /** How long the next watch waits: short while it is not known whether the store answers at all. */
  private get nextWaitMs(): number {
    if (!this.isReachable) return probeWatchMs;
    return this.hold.hasPending ? holdWatchMs : watchMs;
  }

  private async list(signal: AbortSignal): Promise<void> {
    const { values, revision } = await this.store.snapshot(this.codec.prefix, signal);
    const changes = values.flatMap((value) => this.decode(value));
    const changedAt = this.earliestChangeAt(this.clock.now());
    this.noteAnswer();
    this.takeAll([...this.state.missingIn(changes), ...changes], changedAt);
    this.revision = revision;
  }

  private async follow(after: number, signal: AbortSignal): Promise<void> {
    const { prefix } = this.codec;
    const waitMs = this.nextWaitMs;
    const calledAt = this.clock.now();
    const { changes, revision } = await this.store.changes(prefix, after, waitMs, signal);
    const now = this.clock.now();
    // A change that was not waited for may have come at any time since the answer before.
    const changedAt = now - calledAt > promptMs ? now : this.earliestChangeAt(now);
    this.noteAnswer();
    this.takeAll(
      changes.flatMap((change) => this.decode(change)),
      changedAt,
    );
    this.revision = Math.max(after, revision);
    if (changes.length === 0) return;
    await this.clock.sleep(changeBatchWindowMs(this.state.entries), signal);
  }

  /**
   * Time before which what the store tells now was not known anywhere. While the store is away nobody
   * learns of changes, so time to act on them counts from its return.
   */
  private earliestChangeAt(now: number): number {
    const knownAt = this.isReachable
      ? this.answeredAt
      : Math.max(this.answeredAt, now - returnSlackMs);
    return knownAt - this.untoldMs;
  }

  /** Notes that the store answers, before what it says is taken. */
  private noteAnswer(): void {
    const now = this.clock.now();
    if (!this.isReachable) this.hold.storeRecovered(now - this.answeredAt, now);
    this.answeredAt = now;
    this.untoldMs = 0;
  }

  private takeAll(changes: readonly FleetChange[], changedAt: number): void {
    this.state.applyTogether(() => changes.forEach((change) => this.take(change, changedAt)));
  }

  private take(change: FleetChange, changedAt: number): void {
    const { key, isGone } = registrationOf(change);
    if (key && !isGone) this.hold.cancel(key);
    if (key && isGone && this.hold.defer(key, change, this.clock.now())) {
      this.log.info('Not registered; it may come back.', { key });
      return;
    }
    this.state.apply(change, changedAt);
  }

  private removeDue(): void {
    const now = this.clock.now();
    this.state.applyTogether(() =>
      this.hold.due(now).forEach((change) => this.state.apply(change, now)),
    );
  }

  private decode(change: StoreChange): FleetChange[] {
    try {
      const decoded = this.codec.decode(change);
      return decoded ? [decoded] : [];
    } catch (error) {
      if (!(error instanceof InvalidInput)) throw error;
      this.metrics.count('store_values_unreadable');
      this.log.warn('Value not readable; it changes nothing.', {
        key: change.key,
        revision: change.revision,
        reason: error.message,
      });
      return [];
    }
  }

  private reached(): void {
    this.pauseMs = firstPauseMs;
    if (this.isReachable) return;
    this.isReachable = true;
    this.log.info('Store reachable again.');
  }

  private async failed(error: unknown, signal: AbortSignal): Promise<void> {
    const failure = toFailure(error);
    if (failure instanceof HistoryLost) {
      this.revision = undefined;
      this.log.warn('The history is gone; reading everything.');
      return;
    }
    if (this.isReachable) {
      this.isReachable = false;
      this.log.warn('Store not reachable.', { type: failure.type, reason: failure.message });
    }
    await this.clock.sleep(this.pauseMs, signal).catch(() => undefined);
    this.pauseMs = Math.min(longestPauseMs, this.pauseMs * 2);
  }
}
