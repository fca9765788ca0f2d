import { Unavailable, toFailure } from '@laburnumstream/common';
import type { Chart, Clock, Log, Metrics } from '@laburnumstream/common';
import { isWorthFinishing, computeSwitchDelayMs, switchPosition } from '@laburnumstream/decisions';
import { Lifecycle } from '@laburnumstream/runtime';
import type { Notifier } from '@laburnumstream/runtime';
import { EngineStaging } from './engineStaging.js';
import type { EngineWatch } from './engineWatch.js';
import type { FleetView } from './fleetView.js';
import type { HeldVersion } from './heldVersion.js';
import type { LocalEngine } from './localEngine.js';
import type { PieceGossip } from './pieceGossip.js';
import type { WeightState } from './reporter.js';
import { VersionFetch, fetchManifest } from './versionFetch.js';
import type { FetchServices } from './versionFetch.js';
import type { VersionShelf } from './versionShelf.js';

/** Fetches at once while the engine serves requests, and while it does not. */
const windows = { serving: 4, idle: 6 } as const;
/** Longest time between looks when nothing is heard to have changed, in milliseconds. */
const lookMs = 1_000;
/** Time between looks at an order that is carried out, in milliseconds. */
const orderLookMs = 20;
const pauseMs = 300;
/** Time in which entries learn that the engine is about to switch, in milliseconds. */
const noticeMs = 25;
/** Time beyond the requests that run in which an order has to show, in milliseconds. */
const orderTimeoutMs = 12_000;
/** Members that are asked for a manifest before the origin. */
const mostAsked = 2;
/** Pieces in a row that do not match after which what lies at the engine is another version. */
const mostMismatches = 2;

type KeeperEvent = 'WANTED' | 'DUE' | 'LOADED' | 'FAILED' | 'CHANGED' | 'RETRY';

/** Brings the engine beside this process to the version that operators want. */
export class WeightKeeper {
  private lifecycle: Lifecycle<KeeperEvent> | undefined;

  private target: HeldVersion | undefined;

  private switching = false;

  private readonly staging: EngineStaging;

  constructor(
    private readonly view: FleetView,
    private readonly watch: EngineWatch,
    private readonly engine: LocalEngine,
    private readonly shelf: VersionShelf,
    private readonly gossip: PieceGossip,
    private readonly services: FetchServices,
    /** Notified when the engine, the fleet or the held versions have changed. */
    private readonly changes: Notifier,
    /** Time after a version's naming at which no request may begin on an older one. */
    private readonly graceMs: number,
    private readonly onUrgent: () => void,
  ) {
    this.staging = new EngineStaging(engine, services.metrics, services.log);
  }

  /** What entries are told of the weights. */
  get weightState(): WeightState {
    const { servedVersion: version, switching: isSwitching, view } = this;
    const isOutdated = version > 0 && version < view.version;
    const newest = this.shelf.newest()?.version ?? 0;
    const next = newest > version ? newest : view.version;
    const switchInMs = isOutdated ? this.switchDelayMs(next) : undefined;
    return { version, isSwitching, switchInMs };
  }

  /** Version whose every layer the engine holds; 0 for none. */
  get servedVersion(): number {
    const layers = this.watch.state?.layers;
    const isWhole = layers?.from === 0 && layers.to === this.view.layers;
    return isWhole ? layers.version : 0;
  }

  /** Whether requests may come to the engine, so that weights leave room for their events. */
  get isServing(): boolean {
    const { servedVersion, graceMs, view } = this;
    const isInUse = servedVersion > 0 && view.outdatedMs(servedVersion) < graceMs;
    return isInUse || (this.watch.state?.running ?? 0) > 0;
  }

  /** Works until the signal fires. */
  run(chart: Chart, signal: AbortSignal): void {
    const handlers = {
      idle: (ended: AbortSignal) => this.awaitTarget(ended),
      waiting: (ended: AbortSignal) => this.awaitTurn(ended),
      switching: (ended: AbortSignal) => this.guarded(() => this.switchOver(ended)),
      pausing: (ended: AbortSignal) => this.pause(ended),
    };
    this.lifecycle = new Lifecycle<KeeperEvent>(chart, handlers, this.log, signal);
    void this.fetchVersions(signal);
  }

  get state(): string {
    return this.lifecycle?.state ?? '';
  }

  private get log(): Log {
    return this.services.log;
  }

  private get clock(): Clock {
    return this.services.clock;
  }

  private get metrics(): Metrics {
    return this.services.metrics;
  }

  /** Keeps the wanted version in memory. */
  private async fetchVersions(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const { version } = this.view;
      const isNeeded = version > 0 && this.watch.state && !this.shelf.get(version)?.isComplete;
      try {
        if (isNeeded) await this.fetchVersion(version, signal);
        else await this.changes.wait(lookMs, signal);
      } catch (error) {
        if (signal.aborted) return;
        const { type, message } = toFailure(error);
        this.log.info('Version not fetched.', { version, type, reason: message });
        await this.clock.sleep(pauseMs, signal).catch(() => undefined);
      }
    }
  }

  private async fetchVersion(version: number, signal: AbortSignal): Promise<void> {
    const { view, services, gossip } = this;
    const startedAt = this.clock.now();
    const serving = view.serving(version).filter(({ region }) => region === view.self.region);
    const manifest = await fetchManifest(
      view.model,
      version,
      serving.slice(0, mostAsked).map(({ name }) => name),
      view.origin,
      services,
      signal,
    );
    const fetch = new VersionFetch(manifest, view.self, services, view.originPieceMs, (piece) =>
      gossip.pieceCame(piece),
    );
    this.shelf.put(fetch.held);
    await this.adoptStaged(fetch, signal);
    const changed = new AbortController();
    const ended = AbortSignal.any([signal, changed.signal]);
    const following = Promise.all([this.follow(fetch, changed, signal), gossip.run(fetch, ended)]);
    try {
      await fetch.run(ended);
      this.changes.notify();
      this.log.info('Version complete.', { version, ms: Math.round(this.clock.now() - startedAt) });
      this.metrics.observe('version_fetch', this.clock.now() - startedAt);
    } finally {
      changed.abort();
      await following;
    }
  }

  /** Keeps a transfer informed of the members, and ends it when another version is wanted. */
  private async follow(
    fetch: VersionFetch,
    changed: AbortController,
    signal: AbortSignal,
  ): Promise<void> {
    const { view } = this;
    const { version } = fetch.held;
    while (!changed.signal.aborted && !signal.aborted) {
      fetch.regroup({ members: view.members, origin: view.origin });
      view.serving(version).forEach(({ name }) => fetch.learnWhole(name));
      fetch.setWindow(this.isServing ? windows.serving : windows.idle);
      if (view.version !== version && !this.isWorthFinishing(fetch)) changed.abort();
      await this.changes.wait(lookMs, changed.signal).catch(() => undefined);
    }
  }

  private isWorthFinishing({ held, progress }: VersionFetch): boolean {
    const { view, graceMs } = this;
    const outdatedMs = view.outdatedMs(held.version);
    return isWorthFinishing({ progress, outdatedMs, graceMs, loadMs: view.loadMs });
  }

  /** Takes the pieces that lie at the engine, after a restart of this process or of the engine. */
  private async adoptStaged(fetch: VersionFetch, signal: AbortSignal): Promise<void> {
    const { model } = fetch.held.manifest;
    let mismatches = 0;
    try {
      for (const piece of await this.engine.stagedPieces(model, signal)) {
        const bytes = await this.engine.stagedPiece(model, piece, signal);
        if (!fetch.adopt(piece, bytes)) mismatches += 1;
        if (mismatches >= mostMismatches) return;
      }
    } catch (error) {
      signal.throwIfAborted();
      this.log.info('Staged pieces not read.', { reason: toFailure(error).message });
    }
  }

  private async awaitTarget(signal: AbortSignal): Promise<KeeperEvent | undefined> {
    while (!signal.aborted) {
      const newest = this.shelf.newest();
      const served = this.servedVersion;
      if (newest && newest.version > served && this.watch.isAnswering) {
        this.target = newest;
        return 'WANTED';
      }
      if (served > 0) this.shelf.dropBefore(served);
      await this.changes.wait(lookMs, signal);
    }
    return undefined;
  }

  /** An engine without weights loads at once; others one after the other. */
  private async awaitTurn(signal: AbortSignal): Promise<KeeperEvent> {
    const { version } = this.target!;
    while (this.servedVersion > 0) {
      if (version !== this.shelf.newest()?.version) return 'CHANGED';
      const delay = this.switchDelayMs(version);
      if (delay <= 0) break;
      await this.changes.wait(Math.min(delay, lookMs), signal);
    }
    return 'DUE';
  }

  /** Time until the engine is to switch to a version, in milliseconds. */
  private switchDelayMs(version: number): number {
    const { view } = this;
    return computeSwitchDelayMs({
      namedMsAgo: view.namedMsAgo(version),
      outdatedMs: view.outdatedMs(this.servedVersion),
      graceMs: this.graceMs,
      position: switchPosition(view.self, version, view.members),
    });
  }

  private async switchOver(signal: AbortSignal): Promise<KeeperEvent> {
    const target = this.target!;
    const { model, version } = target.manifest;
    await this.staging.put(target, signal);
    this.switching = true;
    this.onUrgent();
    try {
      await this.clock.sleep(noticeMs, signal);
      await this.watch.ask(signal);
      const { state } = this.watch;
      if (!state || !this.watch.isAnswering) throw new Unavailable('The engine is away.', pauseMs);
      await this.engine.load(model, version, state.orders, signal);
      this.log.info('Load ordered.', { version, running: state.running, orders: state.orders });
      await this.awaitLoaded(version, state.bornAt, signal);
      return 'LOADED';
    } finally {
      this.switching = false;
      this.onUrgent();
    }
  }

  private async awaitLoaded(version: number, bornAt: number, signal: AbortSignal): Promise<void> {
    const until = this.clock.now() + orderTimeoutMs;
    while (this.servedVersion !== version) {
      if (this.watch.state?.bornAt !== bornAt) throw new Unavailable('The engine restarted.', 0);
      if (this.clock.now() > until) throw new Unavailable('The engine did not load.', 0);
      await this.watch.ask(signal);
      await this.clock.sleep(orderLookMs, signal);
    }
    this.log.info('Weights loaded.', { version });
    this.metrics.count('versions_loaded');
  }

  private async pause(signal: AbortSignal): Promise<KeeperEvent> {
    await this.clock.sleep(pauseMs, signal);
    return 'RETRY';
  }

  private async guarded(step: () => Promise<KeeperEvent>): Promise<KeeperEvent> {
    try {
      return await step();
    } catch (error) {
      const { type, message } = toFailure(error);
      this.metrics.count('switches_failed');
      this.log.warn('Weights not loaded.', { type, reason: message });
      return 'FAILED';
    }
  }
}
