import { RouteKind, SleepAwareClock } from '@laburnumstream/common';
import type {
  Clock,
  ForwarderSettings,
  KeyValueStore,
  Log,
  Metrics,
  Random,
  StoreFeed,
} from '@laburnumstream/common';
import {
  ConfigurationFreshness,
  MemoryBudget,
  ResponseMemory,
  SharedRetryBudget,
} from '@laburnumstream/decisions';
import { recordClosed } from '@laburnumstream/runtime';
import { callerBoundsWithin } from './callers/callerBounds.js';
import { CallerServer } from './callers/callerServer.js';
import { StoreWait } from './callers/storeWait.js';
import { CrashGuard } from './crashes/crashGuard.js';
import { CrashRecords } from './crashes/crashRecords.js';
import { AdaptiveServices } from './placement/adaptiveServices.js';
import { DispatchQueue } from './placement/dispatchQueue.js';
import { entryGauges } from './entryGauges.js';
import { EndpointDirectory } from './endpoints/endpointDirectory.js';
import type { EndpointHandle } from './endpoints/endpointHandle.js';
import { StopGate } from './callers/stopGate.js';
import { StreamForwarder } from './attempts/streamForwarder.js';
import { EntryRegistration } from './fleet/entryRegistration.js';
import type { FleetCodec } from './fleet/fleetChange.js';
import { FleetWatcher } from './fleet/fleetWatcher.js';
import { VersionWatch } from './fleet/versionWatch.js';
import { FleetState } from './fleet/fleetState.js';
import type { HeaderCodec } from './callers/headerCodec.js';
import { serveReadiness } from './callers/readiness.js';
import { EntryCounts } from './fleet/entryCounts.js';
import { AgentLinks } from './peers/agentLinks.js';
import { DemandControl } from './peers/demandControl.js';
import { RegionalFeed } from './feed/regionalFeed.js';
import { responseMemoryWithin } from './endpoints/responseBounds.js';
import { BufferedForwarder } from './attempts/bufferedForwarder.js';
import { StatementRecorder } from './endpoints/statementRecorder.js';
import { WaitingCalls } from './attempts/waitingCalls.js';

/** Dependencies of an entry. */
export interface EntryDependencies {
  readonly settings: ForwarderSettings;
  readonly store: StoreFeed & KeyValueStore;
  readonly fleetCodec: FleetCodec;
  readonly headerCodec: HeaderCodec;
  readonly clock: Clock;
  readonly random: Random;
  readonly metrics: Metrics;
  /** Returns the logger of a part of the process. */
  readonly log: (part: string) => Log;
}

/** Share of the key revocation bound that a proof may be old; the rest is for requests in flight. */
const proofAgeShare = 0.92;
/** Time beyond the configuration bound up to which a key may be reported as unknown, in milliseconds. */
const missingSlackMs = 500;
/** Minimum lease of the registration, for which a dead entry stays registered, in milliseconds. */
const minLeaseMs = 9_000;
const drainPollMs = 50;

function parseAddress(address: string): { host: string; port: number } {
  const [host = '', port = '0'] = address.split(':');
  return { host, port: Number(port) };
}

/** The entry for a platform with its own store: forwards callers' requests directly to endpoints. */
export class ForwardingEntry {
  private readonly state: FleetState;

  private readonly feed: RegionalFeed;

  private readonly watcher: FleetWatcher;

  private readonly versionWatch: VersionWatch;

  private readonly directory: EndpointDirectory;

  private readonly waitingCalls: WaitingCalls;

  private readonly queue: DispatchQueue;

  private readonly callers: CallerServer;

  private readonly agents: AgentLinks;

  private readonly registration: EntryRegistration;

  private readonly crashRecords: CrashRecords;

  private readonly gate: StopGate;

  private readonly adaptive = new AdaptiveServices();

  constructor(private readonly dependencies: EntryDependencies) {
    const { settings, store, fleetCodec, headerCodec, clock, random, metrics, log } = dependencies;
    const { bounds } = settings;
    const proofClock = new SleepAwareClock(clock);
    const proof = new ConfigurationFreshness(
      bounds.revocationMs * proofAgeShare,
      bounds.configurationMs + missingSlackMs,
    );
    this.state = new FleetState(
      metrics,
      log('fleet'),
      () => this.handleFleetChange(),
      (change) => this.crashRecords.apply(change),
    );
    const entryCounts = new EntryCounts(this.state, settings, clock);
    const storeWait = new StoreWait(clock, () => this.watcher.isStoreReachable);
    const confirm = (calledAt: number): void => {
      proof.confirm(calledAt);
      entryCounts.update();
      storeWait.notify();
      this.registration.handleStoreResponse();
    };
    this.feed = new RegionalFeed(store, settings, this.state, proofClock, metrics, log('feed'));
    this.watcher = new FleetWatcher(
      this.feed,
      fleetCodec,
      this.state,
      { confirm },
      proofClock,
      clock,
      metrics,
      log('store'),
      bounds,
    );
    const { feed, watcher } = this;
    this.versionWatch = new VersionWatch(
      store,
      fleetCodec.versionPrefix,
      () => (feed.isReader ? watcher.knownPosition : undefined),
      () => watcher.endPause(),
      clock,
      log('store'),
    );
    this.directory = new EndpointDirectory(
      settings,
      this.state,
      clock,
      metrics,
      random,
      entryCounts,
      proofClock,
      log('endpoints'),
      (service) => this.adaptive.has(service),
    );
    this.waitingCalls = new WaitingCalls(this.directory.startBounds);
    const guard = new CrashGuard((id) => this.directory.get(id), clock, metrics, log('crashes'));
    this.crashRecords = new CrashRecords(
      store,
      fleetCodec,
      settings.instance,
      guard,
      () => this.state.entryCount,
      clock,
      random,
      metrics,
      log('crashes'),
    );
    const demand = new DemandControl(
      settings,
      this.state,
      this.directory,
      this.adaptive,
      clock,
      log('demand'),
    );
    this.gate = new StopGate(clock, random);
    this.queue = new DispatchQueue(this.directory, clock, random, metrics, log('line'), {
      findStopRefusal: (deadlineAt) => this.gate.findRefusal(deadlineAt),
      isAdaptive: (service) => this.adaptive.has(service),
      waitsForRecovery: (service) => this.adaptive.mayApply(service),
      demand: demand.admission,
      reserve: demand.admission,
    });
    this.agents = new AgentLinks(
      settings,
      this.state,
      this.directory,
      guard,
      clock,
      random,
      metrics,
      log('sidecars'),
      (handle) => {
        this.waitingCalls.refreshAt(handle);
        this.queue.dispatch(handle.endpoint.service, handle);
      },
      demand,
    );
    this.registration = new EntryRegistration(
      store,
      fleetCodec.entryKey(settings.instance),
      fleetCodec.encodeEntry(settings),
      Math.max(minLeaseMs, settings.store.minLeaseMs),
      clock,
      metrics,
      log('registration'),
    );
    const bound = {
      ratio: bounds.retryRatio,
      slack: bounds.retrySlack,
      windowMs: bounds.retryWindowMs,
    };
    const callerBounds = callerBoundsWithin(settings.memoryBytes, settings.maxDescriptors);
    const memoryBudget = new MemoryBudget(callerBounds.memoryBytes);
    const services = {
      queue: this.queue,
      directory: this.directory,
      guard,
      budget: new SharedRetryBudget(bound, () => entryCounts.forRetries),
      onLoadChange: (handle: EndpointHandle) => this.agents.handleLoadChange(handle),
      onNamedLimit: (handle: EndpointHandle, perSecond: number | undefined) =>
        this.agents.recordNamedLimit(handle, perSecond),
      statements: new StatementRecorder(this.directory.statements, clock, metrics, log('sidecars')),
      waitingCalls: this.waitingCalls,
      adaptive: this.adaptive,
      memory: new ResponseMemory(responseMemoryWithin(settings.memoryBytes), memoryBudget),
      codec: headerCodec,
      clock,
      metrics,
      log: log('requests'),
    };
    const forwarders = {
      [RouteKind.idempotent]: new BufferedForwarder(services, true),
      [RouteKind.nonIdempotent]: new BufferedForwarder(services, false),
      [RouteKind.stream]: new StreamForwarder(services),
    };
    const freshness = {
      mayAcceptKeys: () => {
        if (!bounds.failsClosed || proof.mayAcceptKeys(proofClock.now())) return true;
        this.watcher.confirmNow();
        return false;
      },
      mayReportMissing: () => proof.mayReportMissing(proofClock.now()),
      ageMs: () => proof.ageMs(proofClock.now()),
      awaitConfiguration: (timeLeftMs: number, signal: AbortSignal) =>
        storeWait.awaitConfiguration(() => this.state.routes !== undefined, timeLeftMs, signal),
      awaitProof: (timeLeftMs: number, signal: AbortSignal) =>
        storeWait.awaitProof(() => freshness.mayAcceptKeys(), timeLeftMs, signal),
    };
    this.callers = new CallerServer(
      this.state,
      freshness,
      forwarders,
      headerCodec,
      this.gate,
      clock,
      random,
      metrics,
      log('callers'),
      callerBounds,
      memoryBudget,
    );
    const { state, directory, queue, callers } = this;
    const { budget, memory } = services;
    const shared = { budget, memory, memoryBudget, freshness, guard, clock };
    const parts = { state, directory, queue, callers, ...shared };
    metrics.registerGauges(() => [...entryGauges(parts), ...demand.gauges()]);
  }

  /** Starts serving; resolves when all servers are listening. */
  async start(signal: AbortSignal): Promise<void> {
    const { metrics, log, settings } = this.dependencies;
    const { callerAddress, readinessAddress } = settings;
    const ready = parseAddress(readinessAddress);
    await this.feed.listen(signal);
    void this.watcher.run(signal);
    void this.versionWatch.run(signal);
    void this.agents.run(signal);
    void this.registration.run(signal);
    await serveReadiness(
      ready.host,
      ready.port,
      () => this.isReady(),
      signal,
      () => recordClosed(metrics, log('readiness'), 'readiness'),
    );
    const { host, port } = parseAddress(callerAddress);
    await this.callers.listen(host, port);
  }

  /**
   * Answers all requests and resolves when none are left or the shutdown time is over. Requests that
   * could outlast it are refused, and those that do get a final answer.
   */
  async stop(): Promise<void> {
    const plan = this.gate.start(this.dependencies.settings.bounds.shutdownMs);
    void this.registration.withdraw();
    this.callers.startDraining();
    this.queue.dispatchAll();
    await this.waitUntil(plan.idleClosedAt);
    await this.callers.readArrived();
    this.callers.closeIdle();
    await this.waitUntil(plan.earliestEndAt);
    await this.waitUntilAnswered(plan.answersBy);
    this.callers.abortUnanswered();
    await this.waitUntilAnswered(plan.latestEndAt);
    this.callers.close();
    // Requests that have arrived and were not read yet are answered, too.
    await this.dependencies.clock.sleep(drainPollMs);
    await this.waitUntilAnswered(plan.latestEndAt);
    const { active } = this.callers;
    if (active > 0)
      this.dependencies.log('process').warn('Responses cut by the end of the stop.', { active });
  }

  /** Waits until all requests that have arrived are answered, and no longer than until `at`. */
  private async waitUntilAnswered(at: number): Promise<void> {
    const { callers } = this;
    await callers.readArrived();
    while (callers.active > 0 && this.dependencies.clock.now() < at) {
      await this.waitUntil(at, () => callers.active === 0);
      await callers.readArrived();
    }
  }

  private async waitUntil(at: number, isDone: () => boolean = () => false): Promise<void> {
    const { clock } = this.dependencies;
    while (clock.now() < at && !isDone())
      await clock.sleep(Math.min(drainPollMs, at - clock.now()));
  }

  private isReady(): boolean {
    return !this.gate.isStopping && this.state.routes !== undefined;
  }

  private handleFleetChange(): void {
    const { routes } = this.state;
    if (routes) this.adaptive.update(routes.configuration);
    this.callers.applyLimits();
    this.directory.refresh();
    this.agents.scheduleUpdate();
    this.waitingCalls.refresh();
    this.queue.dispatchAll();
  }
}
