import {
  HistoryLost,
  InvalidInput,
  SleepAwareClock,
  createTimeoutSignal,
  toFailure,
} from '@laburnumstream/common';
import type {
  Clock,
  FleetBounds,
  Log,
  Metrics,
  Provenance,
  StoreChange,
  StoreOutage,
  StorePosition,
} from '@laburnumstream/common';
import { DeferredRemovals, changeBatchWindowMs } from '@laburnumstream/decisions';
import type { FleetChange, FleetDecoder } from './fleetChange.js';
import type { FleetFeed } from './fleetFeed.js';
import type { ChangeTimes, FleetState } from './fleetState.js';
import { getRegistration } from './changedRegistration.js';
import { StoreCall, StoreCallCounter } from './storeCallCounter.js';

/** Timeout of a watch call, in milliseconds; its end proves that nothing has changed. */
const watchTimeoutMs = 1_000;
/** The same while removals are deferred because registrations may return, in milliseconds. */
const deferredWatchTimeoutMs = 250;
/** The same while the store is unreachable, in milliseconds. */
const probeWatchTimeoutMs = 50;
/** Minimum time between two interruptions of a wait for changes, in milliseconds. */
const interruptionIntervalMs = 250;
/** Time after which the list of the entries is not waited for, in milliseconds: it only saves copies of the content. */
const listTimeoutMs = 300;
const initialBackoffMs = 100;
const maxBackoffMs = 300;

/** A decoded change of a response. */
interface DatedChange {
  readonly change: FleetChange;
  /** Time that it was made after the oldest change of the response, in milliseconds. */
  readonly laterMs: number;
  /** Whether it takes back what a restored store may have lost, and may get again. */
  readonly isReversal?: boolean;
}

/** The call whose response brought changes. */
interface ResponseOrigin {
  readonly call: StoreCall;
  /** Time on the proof clock, in milliseconds. */
  readonly calledAt: number;
  readonly provenance: Provenance;
}

/** Records how recently the store has confirmed the fleet state. */
export interface FreshnessProof {
  /** Called after the response to a call that began at `calledAt` has been applied. */
  confirm(calledAt: number): void;
}

/** Keeps the fleet state in sync with the store and records how recent it is. */
export class FleetWatcher {
  /** Position of the content; undefined if a snapshot is due. */
  private position: StorePosition | undefined;

  /** Epoch of the store in the last response. */
  private epoch: number | undefined;

  private backoffMs = initialBackoffMs;

  /** Monotonic time of the last response, or of the start before the first one, in milliseconds. */
  private lastResponseAt: number;

  private isReachable = true;

  /** Ends the current call or pause; replaced after each. */
  private interruption = new AbortController();

  /** Monotonic time of the last interruption, in milliseconds. */
  private interruptedAt = -Infinity;

  /** Whether the next call is to be answered at once, since the last wait was interrupted. */
  private isConfirming = false;

  /** Whether the last response had changes, so that the next call waits for more. */
  private isPauseDue = false;

  /** Ends the current or the last pause after changes; undefined before the first one. */
  private pause: AbortController | undefined;

  private readonly deferredRemovals = new DeferredRemovals<FleetChange>();

  private readonly callCounter: StoreCallCounter;

  constructor(
    private readonly store: FleetFeed,
    private readonly codec: FleetDecoder,
    private readonly state: FleetState,
    private readonly proof: FreshnessProof,
    private readonly proofClock: SleepAwareClock,
    private readonly clock: Clock,
    private readonly metrics: Metrics,
    private readonly log: Log,
    private readonly bounds: FleetBounds,
  ) {
    this.lastResponseAt = clock.now();
    this.callCounter = new StoreCallCounter(metrics);
  }

  /** Whether the last call to the store, or to the entry that is read from, was answered. */
  get isStoreReachable(): boolean {
    return this.isReachable;
  }

  /** Position up to which the store's content is known; undefined if a snapshot is due. */
  get knownPosition(): StorePosition | undefined {
    return this.position;
  }

  /** Watches the store until the signal is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    await this.learnEntries(signal);
    while (!signal.aborted) {
      const calledAt = this.proofClock.now();
      const call = this.position === undefined ? StoreCall.list : StoreCall.watch;
      try {
        const proofAgeMs =
          this.position === undefined
            ? await this.loadSnapshot(signal)
            : await this.watchChanges(this.position, signal);
        this.proof.confirm(calledAt - proofAgeMs);
        this.isConfirming = false;
        this.callCounter.countSuccess(call);
        this.handleSuccess();
        this.applyDueRemovals();
        await this.pauseAfterChanges(signal);
      } catch (error) {
        if (signal.aborted) return;
        if (this.interruption.signal.aborted) {
          this.interruption = new AbortController();
          continue;
        }
        this.isConfirming = false;
        this.callCounter.countFailure(call, error);
        await this.handleFailure(error, signal);
      }
    }
  }

  /**
   * Ends the wait for changes, so that the store confirms the content at once: its proof has expired. That
   * happens within a wait if the instance was suspended or its time of day was set.
   */
  confirmNow(): void {
    const now = this.clock.now();
    const isEarly = now - this.interruptedAt < interruptionIntervalMs;
    // A call that is to confirm the content must not be interrupted, as its timeout may show an outage.
    if (isEarly || this.isConfirming || !this.isReachable) return;
    this.interruptedAt = now;
    this.isConfirming = true;
    this.interruption.abort();
  }

  /** Learns which entries there are, so that those that start together read the whole content from a few. */
  private async learnEntries(signal: AbortSignal): Promise<void> {
    const prefix = this.codec.entryKey?.('');
    if (prefix === undefined || !this.store.listEntries) return;
    try {
      const timeout = createTimeoutSignal(listTimeoutMs, signal);
      const values = await this.store.listEntries(prefix, timeout);
      const now = this.proofClock.now();
      const changes = values.flatMap((value) => this.decode(value));
      changes.forEach(({ change }) => change.kind === 'entry' && this.state.apply(change, now));
      this.callCounter.countSuccess(StoreCall.list);
    } catch (error) {
      this.callCounter.countFailure(StoreCall.list, error);
    }
  }

  /** Timeout of the next watch call; short while the store may be unreachable. */
  private get nextWatchTimeoutMs(): number {
    if (!this.isReachable || this.isConfirming) return probeWatchTimeoutMs;
    return this.deferredRemovals.hasPending ? deferredWatchTimeoutMs : watchTimeoutMs;
  }

  /** Batches further changes before the next call. */
  private async pauseAfterChanges(signal: AbortSignal): Promise<void> {
    if (!this.isPauseDue) return;
    this.isPauseDue = false;
    const pause = new AbortController();
    this.pause = pause;
    const ended = AbortSignal.any([signal, this.interruption.signal, pause.signal]);
    await this.clock.sleep(this.batchWindowMs, ended).catch((error: unknown) => {
      if (!pause.signal.aborted) throw error;
    });
  }

  /** Ends a pause after changes, as an urgent one has been made. */
  endPause(): void {
    this.pause?.abort();
  }

  private get batchWindowMs(): number {
    const { drainMs, configurationMs, evacuationMs, revocationMs } = this.bounds;
    const deadlineMs = Math.min(drainMs, configurationMs, evacuationMs, revocationMs);
    return changeBatchWindowMs(this.state.entryCount, deadlineMs);
  }

  /** Returns the time before the call at which the store confirmed the content, in milliseconds. */
  private async loadSnapshot(signal: AbortSignal): Promise<number> {
    const calledAt = this.proofClock.now();
    const snapshot = await this.store.snapshot(this.codec.prefix, signal);
    const { values, revision, epoch, provenance } = snapshot;
    const changes = values.flatMap((value) => this.decode(value));
    const changedAt = calledAt - provenance.changeAgeMs;
    this.logVersions(changes, changedAt, { call: StoreCall.list, calledAt, provenance });
    this.recordResponse(provenance);
    const removals = this.state.getRemovals(changes.map(({ change }) => change));
    const removed = removals.map((change) => ({ change, laterMs: 0 }));
    const isRestored = this.epoch !== undefined && epoch !== this.epoch;
    if (isRestored) this.deferredRemovals.storeRestored(this.clock.now());
    const isReversal = (change: FleetChange): boolean =>
      isRestored && this.state.isReversal(change);
    this.applyAll(
      [...removed, ...changes].map((dated) => ({ ...dated, isReversal: isReversal(dated.change) })),
      changedAt,
      provenance,
    );
    this.epoch = epoch;
    this.position = { revision, epoch };
    return provenance.proofAgeMs;
  }

  /** Returns the time before the call at which the store confirmed the content, in milliseconds. */
  private async watchChanges(after: StorePosition, signal: AbortSignal): Promise<number> {
    const { prefix } = this.codec;
    const waitMs = this.nextWatchTimeoutMs;
    const calledAt = this.proofClock.now();
    const response = await this.store.changes(
      prefix,
      after,
      waitMs,
      AbortSignal.any([signal, this.interruption.signal]),
    );
    const { changes, revision, provenance } = response;
    const decoded = changes.flatMap((change) => this.decode(change));
    const changedAt = calledAt - provenance.changeAgeMs;
    this.logVersions(decoded, changedAt, { call: StoreCall.watch, calledAt, provenance });
    this.recordResponse(provenance);
    this.applyAll(decoded, changedAt, provenance);
    this.position = { ...after, revision: Math.max(after.revision, revision) };
    this.isPauseDue = changes.length > 0;
    return provenance.proofAgeMs;
  }

  /** Records a response before its changes are applied. */
  private recordResponse({ proofAgeMs, outage }: Provenance): void {
    const now = this.clock.now();
    if (!this.isReachable) this.deferredRemovals.storeRecovered(now - this.lastResponseAt, now);
    if (outage) this.recordOutage(outage, now);
    this.lastResponseAt = now - Math.max(0, proofAgeMs);
  }

  /**
   * Records an outage that a source has seen. Only the part after this entry's own last response counts: before
   * it, the store has responded to others, so that the source alone was cut off or suspended.
   */
  private recordOutage({ durationMs, endedMsAgo }: StoreOutage, now: number): void {
    const endedAt = now - endedMsAgo;
    const unansweredMs = endedAt - this.lastResponseAt;
    this.deferredRemovals.storeRecovered(Math.min(durationMs, unansweredMs), endedAt);
  }

  /** Logs how new versions of weights in a response are dated. */
  private logVersions(
    changes: readonly DatedChange[],
    oldestAt: number,
    { call, calledAt, provenance }: ResponseOrigin,
  ): void {
    const now = this.proofClock.now();
    const monotonicNow = this.clock.now();
    changes.forEach(({ change, laterMs }) => {
      if (change.kind !== 'version') return;
      const { model, version } = change.named;
      if (version <= (this.state.namedVersions(model)?.newest ?? 0)) return;
      this.log.info('Version dated.', {
        model,
        version,
        datedMsAgo: Math.round(now - oldestAt - laterMs),
        call,
        callMs: Math.round(now - calledAt),
        lastResponseMsAgo: Math.round(monotonicNow - this.lastResponseAt),
        changeAgeMs: Math.round(provenance.changeAgeMs),
        unseenMs: Math.round(provenance.unseenMs),
        isReachable: this.isReachable,
        suspendedMs: Math.round(now - monotonicNow),
      });
    });
  }

  private applyAll(
    changes: readonly DatedChange[],
    oldestAt: number,
    { unseenMs }: Provenance,
  ): void {
    const times = {
      unseenSince: oldestAt,
      suspendedMs: this.proofClock.now() - this.clock.now(),
      unseenMs,
    };
    this.state.applyBatch(() => changes.forEach((dated) => this.applyOrDefer(dated, times)));
  }

  private applyOrDefer(
    { change, laterMs, isReversal = false }: DatedChange,
    times: Omit<ChangeTimes, 'changedAt'>,
  ): void {
    const { key, isGone } = getRegistration(change);
    if (key && !isGone) this.deferredRemovals.cancel(key);
    const mayReturn = isGone || isReversal;
    if (key && mayReturn && this.deferredRemovals.defer(key, change, this.clock.now())) {
      this.log.info('Not in the store; it may come back.', { key });
      return;
    }
    this.state.apply(change, times.unseenSince + laterMs, times);
  }

  private applyDueRemovals(): void {
    const now = this.clock.now();
    this.state.applyBatch(() =>
      this.deferredRemovals.due(now).forEach((change) => this.state.apply(change, now)),
    );
  }

  private decode(change: StoreChange): DatedChange[] {
    const decoded = this.tryDecode(change) ?? this.decodeUnreadable(change);
    return decoded ? [{ change: decoded, laterMs: change.laterMs ?? 0 }] : [];
  }

  /** A registration that can't be read names nobody, so the one that it has replaced is over. */
  private decodeUnreadable(change: StoreChange): FleetChange | undefined {
    if (change.value === undefined) return undefined;
    const removal = this.tryDecode({ ...change, value: undefined });
    return removal && getRegistration(removal).key ? removal : undefined;
  }

  /** Returns undefined, after a log line, for a value that can't be read. */
  private tryDecode(change: StoreChange): FleetChange | undefined {
    try {
      return this.codec.decode(change);
    } catch (error) {
      if (!(error instanceof InvalidInput)) throw error;
      this.metrics.count('store_values_unreadable');
      this.log.warn('Invalid value in the store ignored.', {
        key: change.key,
        revision: change.revision,
        reason: error.message,
      });
      return undefined;
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
      this.position = undefined;
      this.log.warn('Watch history lost; reloading the snapshot.');
      return;
    }
    const fields = { type: failure.type, reason: failure.message };
    if (this.isReachable) this.log.warn('Store not reachable.', fields);
    else this.log.info('Store still not reachable.', fields);
    this.isReachable = false;
    await this.clock.sleep(this.backoffMs, signal).catch(() => undefined);
    this.backoffMs = Math.min(maxBackoffMs, this.backoffMs * 2);
  }
}
