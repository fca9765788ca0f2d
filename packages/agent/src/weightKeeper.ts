import { OrderRefused, StaleOrder, toFailure } from '@laburnumstream/common';
import type { AgentSettings } from '@laburnumstream/runtime';
import type { Chart, Clock, Log, Metrics, ModelEngine } from '@laburnumstream/common';
import { policyFor, slotPollMs, switchDelayMs, unfitReason } from '@laburnumstream/decisions';
import type { Configuration, SwitchRecord } from '@laburnumstream/decisions';
import { Lifecycle } from '@laburnumstream/runtime';
import type { Slot, Slots } from './slots.js';
import type { WeightFetcher } from './weightFetcher.js';
import type { WeightStore } from './weightStore.js';
import { digestsToKeep, serves, targetsOf } from './weightTargets.js';
import type { Served, WeightTarget } from './weightTargets.js';

const pollMs = 200;
const pauseMs = 500;
/** Time after which a version that seemed unfit is loaded again if it is still wanted. */
const unfitRetryMs = 5_000;
/** Time after a switch in which a loss of the weights speaks against the version, in milliseconds. */
const probationMs = 60_000;

type WeightEvent = 'WANTED' | 'WHOLE' | 'SLOT' | 'LOST' | 'LOADED' | 'FAILED' | 'CHANGED' | 'RETRY';

/** The load at the endpoint, for the order of switches. */
export type SpareLoad = () => { readonly inFlight: number; readonly limit: number };

const nothing: Served = { weights: '', adapters: [] };
const noRecord: SwitchRecord = { digest: '', failedLoads: 0, losses: 0 };

/** Brings the endpoint to the versions that the configuration names. */
export class WeightKeeper {
  private wanted: WeightTarget | undefined;

  private served: Served = nothing;

  /** The last order that the endpoint took, for a reload after it lost its weights. */
  private loaded:
    { readonly digest: string; readonly fencing: number; readonly at: number } | undefined;

  private record = noRecord;

  private notedAt = -Infinity;

  private slot: Slot | undefined;

  private lifecycle: Lifecycle<WeightEvent> | undefined;

  private readonly startedAt: number;

  constructor(
    private readonly settings: AgentSettings,
    private readonly configuration: () => Configuration,
    private readonly spareLoad: SpareLoad,
    /** Number of endpoints of the service in this data centre. */
    private readonly neighbours: () => number,
    private readonly engine: ModelEngine,
    private readonly store: WeightStore,
    private readonly fetcher: WeightFetcher,
    private readonly slots: Slots,
    private readonly clock: Clock,
    private readonly metrics: Metrics,
    private readonly log: Log,
  ) {
    this.startedAt = clock.now();
  }

  /** Digest of the weights that the endpoint serves; empty when it has none. */
  get serving(): string {
    return this.served.weights;
  }

  /** Digests of all that the endpoint serves. */
  get servedDigests(): string[] {
    return [this.served.weights, ...this.served.adapters].filter(Boolean);
  }

  /** The version that this endpoint holds for unfit, with the reason. */
  get unfit(): { digest: string; reason: string } | undefined {
    const reason = unfitReason(this.record);
    return reason ? { digest: this.record.digest, reason } : undefined;
  }

  get state(): string {
    return this.lifecycle?.state ?? 'idle';
  }

  start(chart: Chart, signal: AbortSignal): void {
    const handlers = {
      idle: (ended: AbortSignal) => this.awaitWork(ended),
      fetching: (ended: AbortSignal) => this.guard(() => this.fetch(ended)),
      waiting: (ended: AbortSignal) => this.guard(() => this.awaitSlot(ended)),
      switching: (ended: AbortSignal) => this.guard(() => this.switchOver(ended)),
      reloading: (ended: AbortSignal) => this.guard(() => this.reload(ended)),
      pausing: (ended: AbortSignal) => this.pause(ended),
    };
    this.lifecycle = new Lifecycle<WeightEvent>(chart, handlers, this.log, signal);
  }

  /** The endpoint reported what it serves. */
  observe({ weights, adapters }: Served): void {
    const { loaded } = this;
    const isLost = loaded && serves(this.served, loaded.digest) && !weights;
    if (isLost && this.clock.now() - loaded.at < probationMs) {
      this.note(loaded.digest, { losses: 1 });
      this.log.warn('The endpoint lost its weights.', { digest: loaded.digest });
    }
    this.served = { weights, adapters };
  }

  private get targets(): WeightTarget[] {
    return targetsOf(this.configuration(), this.settings.service);
  }

  private isWanted(target: WeightTarget | undefined): boolean {
    return this.targets.some(({ digest }) => digest === target?.digest);
  }

  private async awaitWork(signal: AbortSignal): Promise<WeightEvent | undefined> {
    while (!signal.aborted) {
      this.removeOld();
      const target = this.targets.find(({ digest }) => !serves(this.served, digest));
      if (target && !this.isBarred(target)) {
        this.wanted = target;
        return 'WANTED';
      }
      await this.clock.sleep(pollMs, signal);
    }
    return undefined;
  }

  /**
   * An unfit version is left alone for a while, in which the roll-out may be stopped. When it is still
   * wanted after that, an endpoint that serves it now and then is better than one that serves nothing.
   */
  private isBarred({ digest }: WeightTarget): boolean {
    return digest === this.unfit?.digest && this.clock.now() - this.notedAt < unfitRetryMs;
  }

  /** Current and former versions stay, so that a stopped roll-out returns at once. */
  private removeOld(): void {
    const keep = digestsToKeep(this.targets, this.served);
    if (this.targets.length === 0) return;
    this.store.digests
      .filter((digest) => !keep.has(digest))
      .forEach((digest) => {
        this.store.remove(digest);
        this.log.info('Old version removed.', { digest });
      });
  }

  /** Fetches the wanted version; another release meanwhile ends this transfer. */
  private async fetch(signal: AbortSignal): Promise<WeightEvent> {
    const wanted = this.wanted!;
    const changed = new AbortController();
    const ended = new AbortController();
    void this.awaitChange(wanted, changed, AbortSignal.any([signal, ended.signal]));
    const started = this.clock.now();
    try {
      await this.fetcher.fetch(wanted, AbortSignal.any([signal, changed.signal]));
      this.metrics.observe('weight_fetch', this.clock.now() - started);
      return this.isReload(wanted) ? 'LOST' : 'WHOLE';
    } catch (error) {
      if (changed.signal.aborted) return 'CHANGED';
      throw error;
    } finally {
      ended.abort();
    }
  }

  private async awaitChange(
    wanted: WeightTarget,
    changed: AbortController,
    signal: AbortSignal,
  ): Promise<void> {
    while (!signal.aborted) {
      if (!this.isWanted(wanted)) changed.abort();
      await this.clock.sleep(pollMs, signal).catch(() => undefined);
    }
  }

  /** Whether the endpoint lost the very version that it had loaded: it serves nothing to protect. */
  private isReload({ digest }: WeightTarget): boolean {
    return this.loaded?.digest === digest && !this.served.weights;
  }

  private async awaitSlot(signal: AbortSignal): Promise<WeightEvent> {
    const { service, dataCentre, instance } = this.settings;
    const { inFlight, limit } = this.spareLoad();
    await this.clock.sleep(switchDelayMs(inFlight, limit), signal);
    while (this.isWanted(this.wanted)) {
      const place = { service, dataCentre, instance };
      const { switchSlots } = policyFor(this.configuration(), place, this.clock.wall());
      this.slot = await this.slots.take(`${service}/${dataCentre}`, switchSlots, signal);
      if (this.slot) return 'SLOT';
      await this.clock.sleep(slotPollMs(this.neighbours()), signal);
    }
    return 'CHANGED';
  }

  private async switchOver(signal: AbortSignal): Promise<WeightEvent> {
    const slot = this.slot!;
    const work = (limit: AbortSignal): Promise<WeightEvent> => this.orderUnder(slot, limit);
    try {
      return await this.slots.under(slot, signal, work);
    } finally {
      await this.slots.release(slot).catch(() => undefined);
    }
  }

  private async orderUnder(slot: Slot, signal: AbortSignal): Promise<WeightEvent> {
    const { digest } = this.wanted!;
    await this.awaitFormerHolder(signal);
    // The version may have been stopped, or the endpoint switched, while this process was paused.
    const report = await this.engine.getLoadReport(signal);
    this.observe(report);
    if (!this.isWanted(this.wanted) || serves(report, digest)) return 'FAILED';
    // A paused process may wake after its lease has ended: check right before the order.
    if (!this.slots.holds(slot)) return 'FAILED';
    return this.order(digest, slot.fencing, signal);
  }

  /**
   * An endpoint that ignores fencing numbers may still get an order of an agent that has vanished:
   * wait until every lease from before has ended.
   */
  private async awaitFormerHolder(signal: AbortSignal): Promise<void> {
    if (this.settings.endpoint.checksFencing) return;
    const left = this.startedAt + this.slots.leaseMs - this.clock.now();
    if (left > 0) await this.clock.sleep(left, signal);
  }

  /** Loads the released version again with the number of the order that loaded it before. */
  private async reload(signal: AbortSignal): Promise<WeightEvent> {
    const wanted = this.wanted!;
    if (!this.isReload(wanted)) return 'FAILED';
    return this.order(wanted.digest, this.loaded!.fencing, signal);
  }

  private async order(digest: string, fencing: number, signal: AbortSignal): Promise<WeightEvent> {
    const version = this.store.find(digest);
    if (!version?.isVerified) return 'FAILED';
    const source = `http://${this.settings.listen.weights}/weights/${digest}/content`;
    const { manifest } = version;
    try {
      await this.engine.order({ kind: 'load', fencing, manifest, digest, source }, signal);
      const report = await this.engine.getLoadReport(signal);
      this.loaded = { digest, fencing, at: this.clock.now() };
      this.observe(report);
      if (!serves(report, digest)) throw new StaleOrder('The endpoint serves another version.');
    } catch (error) {
      if (error instanceof OrderRefused) this.note(digest, { failedLoads: 1 });
      throw error;
    }
    this.log.info('Weights switched.', { digest });
    return 'LOADED';
  }

  private note(digest: string, by: { failedLoads?: number; losses?: number }): void {
    const { failedLoads, losses } = this.record.digest === digest ? this.record : noRecord;
    this.notedAt = this.clock.now();
    this.record = {
      digest,
      failedLoads: failedLoads + (by.failedLoads ?? 0),
      losses: losses + (by.losses ?? 0),
    };
  }

  private async pause(signal: AbortSignal): Promise<WeightEvent> {
    await this.clock.sleep(pauseMs, signal);
    return 'RETRY';
  }

  private async guard(step: () => Promise<WeightEvent>): Promise<WeightEvent> {
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
