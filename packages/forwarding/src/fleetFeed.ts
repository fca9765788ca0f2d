import { HistoryLost, InvalidInput, SleepAwareClock, toFailure } from '@laburnumstream/common';
import type { Clock, Log, Metrics, StoreChange, StoreFeed } from '@laburnumstream/common';
import { RemovalHold, changeCollectionMs } from '@laburnumstream/decisions';
import type { FleetChange, FleetCodec } from './fleetChange.js';
import type { FleetState } from './fleetState.js';
import { StoreCall, StoreCallCounter } from './storeCallCounts.js';

/** Longest wait of one watch; its end proves that nothing has changed, in milliseconds. */
const watchTimeoutMs = 1_000;
/** The same while endpoints may come back that seem to be gone, in milliseconds. */
const holdWatchTimeoutMs = 250;
/** The same while the store does not answer, in milliseconds. */
const probeWatchTimeoutMs = 50;
/** Time before the store's return is noticed in which changes may have been made, in milliseconds. */
const recoverySlackMs = 1_000;
/** Time for which a new process uses older versions than the named ones, in milliseconds. */
const restartGraceMs = 2_500;
/** Time within which the answer to a watch comes when there was nothing to wait for. */
const immediateResponseMs = 15;
const initialBackoffMs = 100;
const maxBackoffMs = 300;

/** What a change says of a registration that lapses; without a key for other changes. */
interface Registration {
  readonly key?: string;
  readonly isGone?: boolean;
}

function getRegistration(change: FleetChange): Registration {
  if (change.kind === 'endpoint') {
    return { key: `endpoint ${change.id}`, isGone: change.endpoint === undefined };
  }
  if (change.kind === 'entry') {
    return { key: `entry ${change.name}`, isGone: change.location === undefined };
  }
  return {};
}

/** Is told of each call that the store answered, once its answer is taken. */
export interface FreshnessProof {
  /** The store has answered a call that began at `calledAt`. */
  confirm(calledAt: number): void;
}

/** Keeps the state of the fleet up to date with the store, and proves how old it is. */
export class FleetWatcher {
  private revision: number | undefined;

  private backoffMs = initialBackoffMs;

  /** Monotonic time of the last answer, before the first one of the start, in milliseconds. */
  private lastResponseAt: number;

  /** Time before the last answer at which changes may have been made that it did not tell. */
  private changeLookbackMs: number;

  private isReachable = true;

  private readonly heldRemovals = new RemovalHold<FleetChange>();

  private readonly callCounter: StoreCallCounter;

  constructor(
    private readonly store: StoreFeed,
    private readonly codec: FleetCodec,
    private readonly state: FleetState,
    private readonly proof: FreshnessProof,
    private readonly proofClock: SleepAwareClock,
    private readonly clock: Clock,
    private readonly metrics: Metrics,
    private readonly log: Log,
    /** Time after a version's naming at which older ones are left, in milliseconds. */
    versionMs: number,
  ) {
    this.lastResponseAt = clock.now();
    this.callCounter = new StoreCallCounter(metrics);
    // When versions in the first list were named is not known: they count as nearly due.
    this.changeLookbackMs = Math.max(0, versionMs - restartGraceMs);
  }

  /** Follows the store until the signal fires. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const calledAt = this.proofClock.now();
      const call = this.revision === undefined ? StoreCall.list : StoreCall.watch;
      try {
        if (this.revision === undefined) await this.loadSnapshot(signal);
        else await this.watchChanges(this.revision, signal);
        this.proof.confirm(calledAt);
        this.callCounter.countSuccess(call);
        this.handleSuccess();
        this.applyDueRemovals();
      } catch (error) {
        if (signal.aborted) return;
        this.callCounter.countFailure(call, error);
        await this.handleFailure(error, signal);
      }
    }
  }

  /** How long the next watch waits: short while it is not known whether the store answers at all. */
  private get nextWatchTimeoutMs(): number {
    if (!this.isReachable) return probeWatchTimeoutMs;
    return this.heldRemovals.isWaiting ? holdWatchTimeoutMs : watchTimeoutMs;
  }

  private async loadSnapshot(signal: AbortSignal): Promise<void> {
    const { values, revision } = await this.store.snapshot(this.codec.prefix, signal);
    const changes = values.flatMap((value) => this.decode(value));
    const changedAt = this.earliestChangeAt(this.clock.now());
    this.recordResponse();
    this.applyAll([...this.state.getRemovals(changes), ...changes], changedAt);
    this.revision = revision;
  }

  private async watchChanges(after: number, signal: AbortSignal): Promise<void> {
    const { prefix } = this.codec;
    const waitMs = this.nextWatchTimeoutMs;
    const calledAt = this.clock.now();
    const { changes, revision } = await this.store.changes(prefix, after, waitMs, signal);
    const now = this.clock.now();
    // A change that was not waited for may have come at any time since the answer before.
    const changedAt = now - calledAt > immediateResponseMs ? now : this.earliestChangeAt(now);
    this.recordResponse();
    this.applyAll(
      changes.flatMap((change) => this.decode(change)),
      changedAt,
    );
    this.revision = Math.max(after, revision);
    if (changes.length === 0) return;
    await this.clock.sleep(changeCollectionMs(this.state.entryCount), signal);
  }

  /**
   * Time before which what the store tells now was not known anywhere. While the store is away nobody
   * learns of changes, so time to act on them counts from its return.
   */
  private earliestChangeAt(now: number): number {
    const knownAt = this.isReachable
      ? this.lastResponseAt
      : Math.max(this.lastResponseAt, now - recoverySlackMs);
    return knownAt - this.changeLookbackMs;
  }

  /** Notes that the store answers, before what it says is taken. */
  private recordResponse(): void {
    const now = this.clock.now();
    if (!this.isReachable) this.heldRemovals.storeReturned(now - this.lastResponseAt, now);
    this.lastResponseAt = now;
    this.changeLookbackMs = 0;
  }

  private applyAll(changes: readonly FleetChange[], changedAt: number): void {
    this.state.applyBatch(() => changes.forEach((change) => this.applyOrHold(change, changedAt)));
  }

  private applyOrHold(change: FleetChange, changedAt: number): void {
    const { key, isGone } = getRegistration(change);
    if (key && !isGone) this.heldRemovals.release(key);
    if (key && isGone && this.heldRemovals.hold(key, change, this.clock.now())) {
      this.log.info('Not registered; it may come back.', { key });
      return;
    }
    this.state.apply(change, changedAt);
  }

  private applyDueRemovals(): void {
    const now = this.clock.now();
    this.state.applyBatch(() =>
      this.heldRemovals.due(now).forEach((change) => this.state.apply(change, now)),
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

  private handleSuccess(): void {
    this.backoffMs = initialBackoffMs;
    if (this.isReachable) return;
    this.isReachable = true;
    this.log.info('Store reachable again.');
  }

  private async handleFailure(error: unknown, signal: AbortSignal): Promise<void> {
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
    await this.clock.sleep(this.backoffMs, signal).catch(() => undefined);
    this.backoffMs = Math.min(maxBackoffMs, this.backoffMs * 2);
  }
}
