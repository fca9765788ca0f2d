import { OrderRefused, StaleOrder, toFailure } from '@laburnumstream/common';
import type { AgentSettings } from '@laburnumstream/runtime';
import type { Chart, Clock, Log, Metrics, ModelEngine } from '@laburnumstream/common';
import { policyFor, slotPollIntervalMs, slotDelayMs, unfitReason } from '@laburnumstream/decisions';
import type { Configuration, VersionFailures } from '@laburnumstream/decisions';
import { Lifecycle } from '@laburnumstream/runtime';
import type { Slot, SwitchSlots } from './switchSlots.js';
import type { WeightFetcher } from './weightFetcher.js';
import type { WeightStore } from './weightStore.js';
import { digestsToKeep, serves, resolveTargets } from './weightTargets.js';
import type { ServedWeights, WeightTarget } from './weightTargets.js';

const pollMs = 200;
const retryDelayMs = 500;
/** Delay before an unfit version that is still wanted is loaded again, in milliseconds. */
const unfitRetryMs = 5_000;
/**
 * Time after a switch during which losing the weights counts against the version, in milliseconds.
 */
const probationMs = 60_000;

type WeightEvent = 'WANTED' | 'WHOLE' | 'SLOT' | 'LOST' | 'LOADED' | 'FAILED' | 'CHANGED' | 'RETRY';

/** Returns the load at the endpoint, which decides the order of switches. */
export type CurrentLoad = () => { readonly inFlight: number; readonly limit: number };

const noWeights: ServedWeights = { weights: '', adapters: [] };
const emptyRecord: VersionFailures = { digest: '', failedLoads: 0, losses: 0 };

/** Reconciles the weights on the endpoint with the configured versions. */
export class WeightReconciler {
  private wanted: WeightTarget | undefined;

  private served: ServedWeights = noWeights;

  /** The last accepted order, for a reload after the endpoint lost its weights. */
  private lastOrder:
    { readonly digest: string; readonly fencing: number; readonly at: number } | undefined;

  private record = emptyRecord;

  private recordUpdatedAt = -Infinity;

  private slot: Slot | undefined;

  private lifecycle: Lifecycle<WeightEvent> | undefined;

  private readonly startedAt: number;

  constructor(
    private readonly settings: AgentSettings,
    private readonly configuration: () => Configuration,
    private readonly currentLoad: CurrentLoad,
    /** Number of endpoints of the service in this data centre. */
    private readonly localEndpointCount: () => number,
    private readonly engine: ModelEngine,
    private readonly store: WeightStore,
    private readonly fetcher: WeightFetcher,
    private readonly slots: SwitchSlots,
    private readonly clock: Clock,
    private readonly metrics: Metrics,
    private readonly log: Log,
  ) {
    this.startedAt = clock.now();
  }

  /** Digest of the weights that the endpoint serves; empty when it has none. */
  get servedWeights(): string {
    return this.served.weights;
  }

  /** Digests of the served weights and adapters. */
  get servedDigests(): string[] {
    return [this.served.weights, ...this.served.adapters].filter(Boolean);
  }

  /** The version that proved unfit on this endpoint, with the reason. */
  get unfitVersion(): { digest: string; reason: string } | undefined {
    const reason = unfitReason(this.record);
    return reason ? { digest: this.record.digest, reason } : undefined;
  }

  get state(): string {
    return this.lifecycle?.state ?? 'idle';
  }

  start(chart: Chart, signal: AbortSignal): void {
    const handlers = {
      idle: (ended: AbortSignal) => this.awaitTarget(ended),
      fetching: (ended: AbortSignal) => this.runStep(() => this.fetch(ended)),
      waiting: (ended: AbortSignal) => this.runStep(() => this.awaitSlot(ended)),
      switching: (ended: AbortSignal) => this.runStep(() => this.switchVersion(ended)),
      reloading: (ended: AbortSignal) => this.runStep(() => this.reload(ended)),
      pausing: (ended: AbortSignal) => this.backOff(ended),
    };
    this.lifecycle = new Lifecycle<WeightEvent>(chart, handlers, this.log, signal);
  }

  /** Applies a report of what the endpoint serves. */
  observe({ weights, adapters }: ServedWeights): void {
    const { lastOrder } = this;
    const isLost = lastOrder && serves(this.served, lastOrder.digest) && !weights;
    if (isLost && this.clock.now() - lastOrder.at < probationMs) {
      this.updateRecord(lastOrder.digest, { losses: 1 });
      this.log.warn('The endpoint lost its weights.', { digest: lastOrder.digest });
    }
    this.served = { weights, adapters };
  }

  private get targets(): WeightTarget[] {
    return resolveTargets(this.configuration(), this.settings.service);
  }

  private isWanted(target: WeightTarget | undefined): boolean {
    return this.targets.some(({ digest }) => digest === target?.digest);
  }

  private async awaitTarget(signal: AbortSignal): Promise<WeightEvent | undefined> {
    while (!signal.aborted) {
      this.removeUnused();
      const target = this.targets.find(({ digest }) => !serves(this.served, digest));
      if (target && !this.isBackingOff(target)) {
        this.wanted = target;
        return 'WANTED';
      }
      await this.clock.sleep(pollMs, signal);
    }
    return undefined;
  }

  /**
   * An unfit version is not loaded again for a while, in which the roll-out may be stopped. If it
   * is still wanted after that, serving it intermittently is better than serving nothing.
   */
  private isBackingOff({ digest }: WeightTarget): boolean {
    return (
      digest === this.unfitVersion?.digest && this.clock.now() - this.recordUpdatedAt < unfitRetryMs
    );
  }

  /** Keeps current and previous versions, so that a stopped roll-out can revert at once. */
  private removeUnused(): void {
    const keep = digestsToKeep(this.targets, this.served);
    if (this.targets.length === 0) return;
    this.store.digests
      .filter((digest) => !keep.has(digest))
      .forEach((digest) => {
        this.store.remove(digest);
        this.log.info('Unused version removed.', { digest });
      });
  }

  /** Fetches the wanted version; a release of another version aborts the transfer. */
  private async fetch(signal: AbortSignal): Promise<WeightEvent> {
    const wanted = this.wanted!;
    const changed = new AbortController();
    const ended = new AbortController();
    void this.abortOnChange(wanted, changed, AbortSignal.any([signal, ended.signal]));
    const startedAt = this.clock.now();
    try {
      await this.fetcher.fetch(wanted, AbortSignal.any([signal, changed.signal]));
      this.metrics.observe('weight_fetch', this.clock.now() - startedAt);
      return this.needsReload(wanted) ? 'LOST' : 'WHOLE';
    } catch (error) {
      if (changed.signal.aborted) return 'CHANGED';
      throw error;
    } finally {
      ended.abort();
    }
  }

  private async abortOnChange(
    wanted: WeightTarget,
    change: AbortController,
    signal: AbortSignal,
  ): Promise<void> {
    while (!signal.aborted) {
      if (!this.isWanted(wanted)) change.abort();
      await this.clock.sleep(pollMs, signal).catch(() => undefined);
    }
  }

  /**
   * Whether the endpoint lost the version that it last loaded; a reload then interrupts no service.
   */
  private needsReload({ digest }: WeightTarget): boolean {
    return this.lastOrder?.digest === digest && !this.served.weights;
  }

  private async awaitSlot(signal: AbortSignal): Promise<WeightEvent> {
    const { service, dataCentre, instance } = this.settings;
    const { inFlight, limit } = this.currentLoad();
    await this.clock.sleep(slotDelayMs(inFlight, limit), signal);
    while (this.isWanted(this.wanted)) {
      const place = { service, dataCentre, instance };
      const { switchSlots } = policyFor(this.configuration(), place, this.clock.wall());
      this.slot = await this.slots.acquire(`${service}/${dataCentre}`, switchSlots, signal);
      if (this.slot) return 'SLOT';
      await this.clock.sleep(slotPollIntervalMs(this.localEndpointCount()), signal);
    }
    return 'CHANGED';
  }

  private async switchVersion(signal: AbortSignal): Promise<WeightEvent> {
    const slot = this.slot!;
    const work = (limit: AbortSignal): Promise<WeightEvent> => this.switchWithSlot(slot, limit);
    try {
      return await this.slots.runWhileHeld(slot, signal, work);
    } finally {
      await this.slots.release(slot).catch(() => undefined);
    }
  }

  private async switchWithSlot(slot: Slot, signal: AbortSignal): Promise<WeightEvent> {
    const { digest } = this.wanted!;
    await this.awaitPreviousLeases(signal);
    // The roll-out may have been stopped, or the endpoint switched, while this process was paused.
    const report = await this.engine.getLoadReport(signal);
    this.observe(report);
    if (!this.isWanted(this.wanted) || serves(report, digest)) return 'FAILED';
    // A paused process may resume after its lease has expired: check right before the order.
    if (!this.slots.isHeld(slot)) return 'FAILED';
    return this.loadVersion(digest, slot.fencingNumber, signal);
  }

  /**
   * An endpoint that ignores fencing numbers could still execute an order of a previous agent
   * process: waits until every lease granted before the start has expired.
   */
  private async awaitPreviousLeases(signal: AbortSignal): Promise<void> {
    if (this.settings.endpoint.checksFencing) return;
    const remainingMs = this.startedAt + this.slots.leaseMs - this.clock.now();
    if (remainingMs > 0) await this.clock.sleep(remainingMs, signal);
  }

  /**
   * Loads the released version again with the fencing number of the order that loaded it before.
   */
  private async reload(signal: AbortSignal): Promise<WeightEvent> {
    const wanted = this.wanted!;
    if (!this.needsReload(wanted)) return 'FAILED';
    return this.loadVersion(wanted.digest, this.lastOrder!.fencing, signal);
  }

  private async loadVersion(
    digest: string,
    fencing: number,
    signal: AbortSignal,
  ): Promise<WeightEvent> {
    const version = this.store.find(digest);
    if (!version?.isVerified) return 'FAILED';
    const source = `http://${this.settings.listen.weights}/weights/${digest}/content`;
    const { manifest } = version;
    try {
      await this.engine.order({ kind: 'load', fencing, manifest, digest, source }, signal);
      const report = await this.engine.getLoadReport(signal);
      this.lastOrder = { digest, fencing, at: this.clock.now() };
      this.observe(report);
      if (!serves(report, digest)) throw new StaleOrder('The endpoint serves another version.');
    } catch (error) {
      if (error instanceof OrderRefused) this.updateRecord(digest, { failedLoads: 1 });
      throw error;
    }
    this.log.info('Weights switched.', { digest });
    return 'LOADED';
  }

  private updateRecord(
    digest: string,
    increments: { failedLoads?: number; losses?: number },
  ): void {
    const { failedLoads, losses } = this.record.digest === digest ? this.record : emptyRecord;
    this.recordUpdatedAt = this.clock.now();
    this.record = {
      digest,
      failedLoads: failedLoads + (increments.failedLoads ?? 0),
      losses: losses + (increments.losses ?? 0),
    };
  }

  private async backOff(signal: AbortSignal): Promise<WeightEvent> {
    await this.clock.sleep(retryDelayMs, signal);
    return 'RETRY';
  }

  private async runStep(step: () => Promise<WeightEvent>): Promise<WeightEvent> {
    try {
      return await step();
    } catch (error) {
      const failure = toFailure(error);
      if (failure instanceof StaleOrder) this.metrics.count('weight_orders_stale');
      this.log.warn('Weights not switched.', { type: failure.type, reason: failure.message });
      return 'FAILED';
    }
  }
}
