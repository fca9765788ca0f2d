import { HistoryLost, InvalidInput, SleepAwareClock, toFailure } from '@laburnumstream/common';
import type { Clock, Log, Metrics, StoreChange, StoreFeed } from '@laburnumstream/common';
import type { ConfigurationProof } from '@laburnumstream/decisions';
import type { FleetChange, FleetCodec } from './fleetChange.js';
import type { FleetState } from './fleetState.js';

/** Longest wait of one watch; its end proves that nothing has changed, in milliseconds. */
const watchMs = 1_000;
/** Time in which further changes of endpoints are collected before the next call, in milliseconds. */
const collectMs = 250;
const firstPauseMs = 100;
const longestPauseMs = 800;

/** Keeps the state of the fleet up to date with the store, and proves how old it is. */
export class FleetFeed {
  private revision: number | undefined;

  private pauseMs = firstPauseMs;

  private isReachable = true;

  constructor(
    private readonly store: StoreFeed,
    private readonly codec: FleetCodec,
    private readonly state: FleetState,
    private readonly proof: ConfigurationProof,
    private readonly proofClock: SleepAwareClock,
    private readonly clock: Clock,
    private readonly metrics: Metrics,
    private readonly log: Log,
  ) {}

  /** Follows the store until the signal fires. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const calledAt = this.proofClock.now();
      try {
        if (this.revision === undefined) await this.list(signal);
        else await this.follow(this.revision, signal);
        this.proof.confirm(calledAt);
        this.reached();
      } catch (error) {
        if (signal.aborted) return;
        await this.failed(error, signal);
      }
    }
  }

  private async list(signal: AbortSignal): Promise<void> {
    const { values, revision } = await this.store.snapshot(this.codec.prefix, signal);
    const changes = values.flatMap((value) => this.decode(value));
    this.state.keepOnly(changes);
    changes.forEach((change) => this.state.apply(change));
    this.revision = revision;
  }

  private async follow(after: number, signal: AbortSignal): Promise<void> {
    const { changes, revision } = await this.store.changes(
      this.codec.prefix,
      after,
      watchMs,
      signal,
    );
    changes.flatMap((change) => this.decode(change)).forEach((change) => this.state.apply(change));
    this.revision = Math.max(after, revision);
    if (changes.length > 0) await this.clock.sleep(collectMs, signal);
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
    this.metrics.count('store_calls_failed');
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
