import { SleepAwareClock, Unavailable, toFailure } from '@laburnumstream/common';
import type { Chart, Clock, Log, Metrics } from '@laburnumstream/common';
import { isWorthFinishing, computeSwitchDelayMs, switchPosition } from '@laburnumstream/decisions';
import { Lifecycle } from '@laburnumstream/runtime';
import type { Notifier } from '@laburnumstream/runtime';
import { EngineStaging } from './engineStaging.js';
import { OpenOrder } from './openOrder.js';
import type { EngineMonitor } from './engineMonitor.js';
import type { FleetView } from './fleetView.js';
import type { HeldVersion } from './heldVersion.js';
import type { LocalEngine } from './localEngine.js';
import type { PieceGossip } from './pieceGossip.js';
import type { WeightState } from './engineReporter.js';
import { VersionFetch, fetchManifest } from './versionFetch.js';
import type { FetchDependencies } from './versionFetch.js';
import type { VersionCache } from './versionCache.js';

/** Maximum number of concurrent fetches while the engine serves requests and while it does not. */
const fetchWindows = { serving: 4, idle: 6 } as const;
/** Maximum time to wait for a change before the state is checked again, in milliseconds. */
const maxWaitMs = 1_000;
/** Time between two polls of the engine during a load, in milliseconds. */
const loadPollIntervalMs = 20;
/** Delay before a failed fetch or switch is retried, in milliseconds. */
const retryDelayMs = 300;
/** Time between the report of a switch to the entries and the order to load, in milliseconds. */
const switchNoticeMs = 25;
/** Time after the order within which the engine must hold the version, in milliseconds. */
const loadTimeoutMs = 12_000;
/** Maximum number of members that are asked for a manifest before the origin. */
const maxManifestPeers = 2;
/** Mismatching staged pieces, if they are the first, after which the engine is assumed to have staged another version. */
const maxMismatches = 2;
/** Number of staged pieces that are read at once after a start. */
const adoptWindow = 8;

type UpdaterEvent = 'WANTED' | 'DUE' | 'LOADED' | 'FAILED' | 'CHANGED' | 'RETRY';

/** Updates the local engine to the version of the weights that operators want. */
export class WeightUpdater {
  private lifecycle: Lifecycle<UpdaterEvent> | undefined;

  private target: HeldVersion | undefined;

  private isSwitching = false;

  private readonly staging: EngineStaging;

  private readonly openOrder = new OpenOrder();

  constructor(
    private readonly view: FleetView,
    private readonly monitor: EngineMonitor,
    private readonly engine: LocalEngine,
    private readonly versions: VersionCache,
    private readonly gossip: PieceGossip,
    private readonly dependencies: FetchDependencies,
    /** Notified of changes of the engine, the fleet or the held versions. */
    private readonly changes: Notifier,
    /** Time after operators name a version from which no request may start on an older one. */
    private readonly graceMs: number,
    private readonly onSwitchingChanged: () => void,
  ) {
    const { clock, metrics, log } = dependencies;
    this.staging = new EngineStaging(engine, new SleepAwareClock(clock), metrics, log);
  }

  /** State of the weights, as reported to entries. */
  get weightState(): WeightState {
    const { servedVersion: version, isSwitching, view } = this;
    const isOutdated = version > 0 && version < view.version;
    const newest = this.versions.newestComplete()?.version ?? 0;
    const next = newest > version ? newest : view.version;
    const switchInMs = isOutdated ? this.switchDelayMs(next) : undefined;
    const outdatedMs = isOutdated ? view.provenOutdatedMs(version) : undefined;
    return { version, isSwitching, switchInMs, outdatedMs };
  }

  /** Version of which the engine holds all layers; 0 for none. */
  get servedVersion(): number {
    const layers = this.monitor.state?.layers;
    const isWhole = layers?.from === 0 && layers.to === this.view.layers;
    return isWhole ? layers.version : 0;
  }

  /**
   * Whether the engine may receive or is running requests, so that weight transfers must leave room on
   * the link for their events.
   */
  get isServing(): boolean {
    const { servedVersion, graceMs, view } = this;
    const isInUse = servedVersion > 0 && view.outdatedMs(servedVersion) < graceMs;
    return isInUse || (this.monitor.state?.running ?? 0) > 0;
  }

  /** Fetches and switches versions until the signal fires. */
  run(chart: Chart, signal: AbortSignal): void {
    const handlers = {
      idle: (ended: AbortSignal) => this.awaitTarget(ended),
      waiting: (ended: AbortSignal) => this.awaitSwitchTime(ended),
      switching: (ended: AbortSignal) => this.catchFailure(() => this.switchVersion(ended)),
      pausing: (ended: AbortSignal) => this.pause(ended),
    };
    this.lifecycle = new Lifecycle<UpdaterEvent>(chart, handlers, this.log, signal);
    void this.fetchVersions(signal);
  }

  /** State of the chart `switch`; empty before `run`. */
  get state(): string {
    return this.lifecycle?.state ?? '';
  }

  private get log(): Log {
    return this.dependencies.log;
  }

  private get clock(): Clock {
    return this.dependencies.clock;
  }

  private get metrics(): Metrics {
    return this.dependencies.metrics;
  }

  /** Fetches the wanted version into memory whenever it changes. */
  private async fetchVersions(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const { version } = this.view;
      const isNeeded = version > 0 && this.monitor.state && !this.versions.get(version)?.isComplete;
      try {
        if (isNeeded) await this.fetchVersion(version, signal);
        else await this.changes.wait(maxWaitMs, signal);
      } catch (error) {
        if (signal.aborted) return;
        const { type, message } = toFailure(error);
        this.log.info('Version not fetched.', { version, type, reason: message });
        await this.clock.sleep(retryDelayMs, signal).catch(() => undefined);
      }
    }
  }

  private async fetchVersion(version: number, signal: AbortSignal): Promise<void> {
    const { view, dependencies, gossip } = this;
    const startedAt = this.clock.now();
    const serving = view
      .membersServing(version)
      .filter(({ region }) => region === view.self.region);
    const manifest = await fetchManifest(
      view.model,
      version,
      serving.slice(0, maxManifestPeers).map(({ name }) => name),
      view.origin,
      dependencies,
      signal,
    );
    const fetch = new VersionFetch(manifest, view.self, dependencies, view.originPieceMs, (piece) =>
      gossip.announcePiece(piece),
    );
    this.versions.add(fetch.held);
    await this.adoptStaged(fetch, signal);
    const superseded = new AbortController();
    const ended = AbortSignal.any([signal, superseded.signal]);
    const tracking = Promise.all([
      this.trackFleet(fetch, superseded, signal),
      gossip.run(fetch, ended),
    ]);
    try {
      await fetch.run(ended);
      this.changes.notify();
      this.log.info('Version complete.', { version, ms: Math.round(this.clock.now() - startedAt) });
      this.metrics.observe('version_fetch', this.clock.now() - startedAt);
    } finally {
      superseded.abort();
      await tracking;
    }
  }

  /**
   * Updates a transfer with the members of the fleet, and aborts it when another version is wanted and
   * it is not worth finishing.
   */
  private async trackFleet(
    fetch: VersionFetch,
    superseded: AbortController,
    signal: AbortSignal,
  ): Promise<void> {
    const { view } = this;
    const { version } = fetch.held;
    while (!superseded.signal.aborted && !signal.aborted) {
      fetch.updateSources({ members: view.members, origin: view.origin });
      view.membersServing(version).forEach(({ name }) => fetch.markComplete(name));
      fetch.setWindow(this.isServing ? fetchWindows.serving : fetchWindows.idle);
      if (view.version !== version && !this.isWorthFinishing(fetch)) superseded.abort();
      await this.changes.wait(maxWaitMs, superseded.signal).catch(() => undefined);
    }
  }

  private isWorthFinishing({ held, progress }: VersionFetch): boolean {
    const { view, graceMs } = this;
    const outdatedMs = view.outdatedMs(held.version);
    return isWorthFinishing({ progress, outdatedMs, graceMs, loadMs: view.loadMs });
  }

  /** Reuses pieces staged at the engine, which outlive restarts of this process and of the engine. */
  private async adoptStaged(fetch: VersionFetch, signal: AbortSignal): Promise<void> {
    const startedAt = this.staging.now();
    const intact: number[] = [];
    try {
      const staged = await this.engine.listStagedPieces(fetch.held.manifest.model, signal);
      // Two pieces show whether the engine has staged another version.
      const isOther = !(await this.adoptPieces(
        fetch,
        staged.slice(0, maxMismatches),
        intact,
        signal,
      ));
      for (let start = maxMismatches; start < staged.length && !isOther; start += adoptWindow)
        await this.adoptPieces(fetch, staged.slice(start, start + adoptWindow), intact, signal);
    } catch (error) {
      signal.throwIfAborted();
      this.log.info('Staged pieces not read.', { reason: toFailure(error).message });
    }
    this.staging.adopt(fetch.held, intact, startedAt);
  }

  /** Reads staged pieces back at once and adds the intact ones; returns whether there is one. */
  private async adoptPieces(
    fetch: VersionFetch,
    staged: readonly number[],
    intact: number[],
    signal: AbortSignal,
  ): Promise<boolean> {
    const { model } = fetch.held.manifest;
    const before = intact.length;
    const adopt = async (piece: number): Promise<void> => {
      const bytes = await this.engine.getStagedPiece(model, piece, signal);
      if (fetch.addIfValid(piece, bytes)) intact.push(piece);
    };
    await Promise.all(staged.map(adopt));
    return intact.length > before;
  }

  /** Waits until a newer version than the served one is complete. */
  private async awaitTarget(signal: AbortSignal): Promise<UpdaterEvent | undefined> {
    while (!signal.aborted) {
      const newest = this.versions.newestComplete();
      const served = this.servedVersion;
      if (newest && newest.version > served && this.monitor.isAnswering) {
        this.target = newest;
        return 'WANTED';
      }
      if (served > 0) this.versions.dropBefore(served);
      await this.changes.wait(maxWaitMs, signal);
    }
    return undefined;
  }

  /** Waits for this engine's turn to switch; an engine without weights loads immediately. */
  private async awaitSwitchTime(signal: AbortSignal): Promise<UpdaterEvent> {
    const { version } = this.target!;
    while (this.servedVersion > 0) {
      if (version !== this.versions.newestComplete()?.version) return 'CHANGED';
      const delay = this.switchDelayMs(version);
      if (delay <= 0) break;
      await this.changes.wait(Math.min(delay, maxWaitMs), signal);
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

  private async switchVersion(signal: AbortSignal): Promise<UpdaterEvent> {
    await this.settleOrder(signal);
    const target = this.openOrder.target ?? this.target!;
    const { model, version } = target.manifest;
    if (this.servedVersion === version) return 'LOADED';
    await this.staging.stage(target, signal);
    this.isSwitching = true;
    this.onSwitchingChanged();
    try {
      // An engine without weights gets no requests that would have to be told.
      if (this.servedVersion > 0) await this.clock.sleep(switchNoticeMs, signal);
      await this.monitor.poll(signal);
      const { state } = this.monitor;
      if (!state || !this.monitor.isAnswering)
        throw new Unavailable('The engine does not respond.', retryDelayMs);
      this.staging.requireRecentCheck();
      await this.openOrder.send(target, state, () =>
        this.engine.orderLoad(model, version, state.acceptedOrders, signal),
      );
      this.log.info('Load ordered.', {
        version,
        running: state.running,
        orders: state.acceptedOrders,
      });
      await this.awaitLoaded(version, state.bornAt, signal);
      return 'LOADED';
    } finally {
      this.isSwitching = false;
      this.onSwitchingChanged();
    }
  }

  /** Finds out whether an order without a response was accepted, and waits until its version is loaded. */
  private async settleOrder(signal: AbortSignal): Promise<void> {
    if (!this.openOrder.target) return;
    await this.monitor.poll(signal);
    const { state } = this.monitor;
    if (!state || !this.monitor.isAnswering) return;
    const accepted = this.openOrder.settle(state);
    if (accepted) await this.awaitLoaded(accepted.version, state.bornAt, signal);
  }

  private async awaitLoaded(version: number, bornAt: number, signal: AbortSignal): Promise<void> {
    const deadline = this.clock.now() + loadTimeoutMs;
    while (this.servedVersion !== version) {
      if (this.monitor.state?.bornAt !== bornAt) throw new Unavailable('The engine restarted.', 0);
      if (this.clock.now() > deadline)
        throw new Unavailable('The engine did not load the version in time.', 0);
      await this.monitor.poll(signal);
      await this.clock.sleep(loadPollIntervalMs, signal);
    }
    this.log.info('Weights loaded.', { version });
    this.metrics.count('versions_loaded');
  }

  private async pause(signal: AbortSignal): Promise<UpdaterEvent> {
    await this.clock.sleep(retryDelayMs, signal);
    return 'RETRY';
  }

  /** Runs a step and turns its failure into the event `FAILED`. */
  private async catchFailure(step: () => Promise<UpdaterEvent>): Promise<UpdaterEvent> {
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
