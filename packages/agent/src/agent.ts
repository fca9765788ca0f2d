import { InstanceRole, InstanceState, optionDefaults } from '@laburnumstream/common';
import type { Instance, LoadReport, Log } from '@laburnumstream/common';
import {
  isDataCentreInService,
  policyDefaults,
  policyFor,
  sendingPriority,
} from '@laburnumstream/decisions';
import type { Configuration, Policy, Scope } from '@laburnumstream/decisions';
import { LinkPool, Secrets, serveInternal, serveSession } from '@laburnumstream/links';
import type { InternalServer } from '@laburnumstream/links';
import {
  HttpInstanceList,
  HttpKeyValueStore,
  HttpWeightOrigin,
  InstanceCache,
} from '@laburnumstream/clients';
import { AgentService } from '@laburnumstream/protocol';
import {
  HistogramMetrics,
  Lifecycle,
  LoggerFactory,
  PauseGuard,
  SystemClock,
  listen,
  createProcessAbort,
  readChart,
  parseAddress,
  systemRandom,
} from '@laburnumstream/runtime';
import type { AgentSettings } from '@laburnumstream/runtime';
import { ConfigurationFollower } from './configurationFollower.js';
import { EndpointGate } from './endpointGate.js';
import { EndpointRunner } from './endpointRunner.js';
import type { Endpoint } from './endpointRunner.js';
import { openEndpoint } from './openEndpoint.js';
import { Presence } from './presence.js';
import type { DescribeState } from './presence.js';
import type { RunHandler } from './runHandler.js';
import { createRunHandler } from './createRunHandler.js';
import { SwitchSlots } from './switchSlots.js';
import { WeightFetcher } from './weightFetcher.js';
import { WeightReconciler } from './weightReconciler.js';
import { WeightPeers } from './weightPeers.js';
import { ConstantRateLimiter } from './bandwidthLimiter.js';
import { SendScheduler } from './sendScheduler.js';
import { WeightServer } from './weightServer.js';
import { WeightStore } from './weightStore.js';

const drainPollMs = 20;
const loadPollMs = 500;
/** Time for both ends to close idle connections at shutdown, in milliseconds. */
const closeGraceMs = 200;
const chunkTimeoutMs = 10_000;

type ProcessEvent = 'READY' | 'STOP' | 'DRAINED';

/** One agent process: creates its components and owns their lifetimes. */
export class Agent {
  private readonly clock = new SystemClock();

  private readonly metrics = new HistogramMetrics();

  private readonly abort = createProcessAbort();

  private readonly log: Log;

  private readonly secrets: Secrets;

  private readonly links: LinkPool;

  private readonly gate: EndpointGate;

  private readonly follower: ConfigurationFollower;

  private readonly presence: Presence;

  private readonly pauseGuard: PauseGuard;

  private internalServer: InternalServer | undefined;

  private wasTakenOut = false;

  private readonly instances: InstanceCache;

  private readonly runHandler: RunHandler;

  private readonly endpoint: Endpoint;

  private readonly endpointRunner: EndpointRunner;

  private readonly weightStore: WeightStore;

  private readonly weightPeers: WeightPeers;

  private readonly weightReconciler: WeightReconciler | undefined;

  private lifecycle: Lifecycle<ProcessEvent> | undefined;

  constructor(
    private readonly settings: AgentSettings,
    private readonly logs: LoggerFactory,
  ) {
    const { options, platform } = settings;
    this.log = logs.forComponent('agent');
    this.secrets = new Secrets(settings.secrets);
    const now = (): number => this.clock.now();
    this.links = new LinkPool(this.secrets, options.linkAgeMs, now, this.abort.signal);
    const getWeight = (workspace: string): number => this.resolvePolicy({ workspace }).weight;
    this.gate = new EndpointGate(policyDefaults, getWeight, this.clock, this.metrics);
    this.instances = new InstanceCache(
      new HttpInstanceList(platform.instances, options.platformTimeoutMs),
      this.clock,
      options.instanceListMs,
      logs.forComponent('instances'),
      systemRandom,
    );
    this.follower = new ConfigurationFollower(
      this.links,
      (configuration) => this.applyConfiguration(configuration),
      logs.forComponent('configuration'),
    );
    this.presence = this.createPresence();
    this.pauseGuard = new PauseGuard(
      this.clock,
      options.pauseLimitMs,
      () => this.handlePause(),
      logs.forComponent('process'),
    );
    this.endpoint = openEndpoint(settings, this.gate, this.clock);
    this.endpointRunner = new EndpointRunner(
      this.endpoint,
      () => this.weightReconciler?.servedWeights ?? '',
    );
    this.runHandler = createRunHandler({
      settings,
      configuration: () => this.follower.configuration,
      gate: this.gate,
      endpoint: this.endpointRunner,
      isSettled: () => this.pauseGuard.isSettled(),
      store: new HttpKeyValueStore(platform.keyValue, options.platformTimeoutMs),
      clock: this.clock,
      metrics: this.metrics,
      log: logs.forComponent('requests'),
      signal: this.abort.signal,
    });
    this.weightStore = new WeightStore(options.weightMemoryBytes);
    this.weightPeers = this.createWeightPeers();
    this.weightReconciler = this.endpoint.engine && this.createWeightReconciler();
  }

  /** Starts serving; resolves when all servers are listening. */
  async start(): Promise<void> {
    const { settings, abort } = this;
    const { signal } = abort;
    const { host, port } = parseAddress(settings.listen.internal);
    this.internalServer = await serveInternal(
      { host, port, secrets: this.secrets },
      (router) => {
        router.service(AgentService, {
          session: (requests, context) =>
            serveSession(
              requests,
              (request, ended) => this.runHandler.run(request, ended),
              context.signal,
            ),
          probe: () => ({ load: this.runHandler.load() }),
        });
      },
      this.metrics,
      signal,
    );
    await this.serveWeights(signal);
    void this.instances.run(signal);
    void this.presence.heartbeat.run(signal);
    void this.pauseGuard.run(signal);
    void this.pollEndpoint(signal);
    this.weightReconciler?.start(readChart('weights'), signal);
    const process = readChart('process');
    this.lifecycle = new Lifecycle(process, {}, this.logs.forComponent('process'), signal);
    this.lifecycle.send('READY');
    this.log.info('Agent started.', { internal: settings.listen.internal });
  }

  /** Replaces the shared secrets. */
  replaceSecrets(secrets: readonly string[]): void {
    this.secrets.replace(secrets);
    this.log.info('Secrets replaced.', { accepted: secrets.length });
  }

  /**
   * Refuses new requests, notifies the entries until one has confirmed, waits for entries that
   * still send requests because they were not notified yet, drains running requests and stops.
   */
  async stop(): Promise<void> {
    this.lifecycle?.send('STOP');
    this.runHandler.drain();
    await this.presence.withdraw(this.abort.signal);
    await this.clock.sleep(this.settings.options.leaveNoticeMs);
    while (this.runHandler.activeCount > 0) await this.clock.sleep(drainPollMs);
    await this.internalServer?.drain(closeGraceMs);
    this.lifecycle?.send('DRAINED');
    this.abort.abort();
  }

  private describeState(): ReturnType<DescribeState> {
    const unfit = this.weightReconciler?.unfitVersion;
    const serving = this.weightReconciler?.servedDigests ?? [];
    return { serving, load: this.runHandler.load(), ...(unfit ? { unfit } : {}) };
  }

  private createPresence(): Presence {
    return new Presence(
      this.settings,
      this.links,
      () => this.instances.entries,
      () => this.describeState(),
      this.follower,
      () => this.runHandler.drain(),
      this.clock,
      this.logs.forComponent('heartbeat'),
    );
  }

  private async handlePause(): Promise<void> {
    this.metrics.count('pauses');
    await this.presence.refreshConfiguration();
  }

  private applyConfiguration(configuration: Configuration): void {
    const isTakenOut = !isDataCentreInService(configuration, this.settings.dataCentre);
    // The caches of the endpoint went cold while its data centre was taken out.
    if (this.wasTakenOut && !isTakenOut) this.gate.markCold('return');
    this.wasTakenOut = isTakenOut;
    this.gate.updatePolicy(this.resolvePolicy({}));
  }

  private createWeightReconciler(): WeightReconciler {
    const { settings, logs, clock, metrics } = this;
    const { options, platform, instance } = settings;
    const fetcherOptions = {
      origin: new HttpWeightOrigin(platform.origin, chunkTimeoutMs),
      peers: this.weightPeers,
      receiveLimiter: new ConstantRateLimiter(clock, options.weightBytesPerSecond),
    };
    const log = logs.forComponent('weights');
    const store = new HttpKeyValueStore(platform.keyValue, options.platformTimeoutMs);
    return new WeightReconciler(
      settings,
      () => this.follower.configuration,
      () => this.runHandler.load(),
      () => this.countLocalEndpoints(),
      this.endpoint.engine!,
      this.weightStore,
      new WeightFetcher(fetcherOptions, this.weightStore, clock, metrics, log),
      new SwitchSlots(store, clock, options.slotLeaseMs, instance),
      clock,
      metrics,
      log,
    );
  }

  private countLocalEndpoints(): number {
    const { service, dataCentre } = this.settings;
    return this.instances.getAgents(service).filter((each) => each.dataCentre === dataCentre)
      .length;
  }

  private createWeightPeers(): WeightPeers {
    const {
      instance: name,
      region,
      dataCentre,
      service,
      listen: addresses,
      platform,
    } = this.settings;
    const self: Instance = {
      name,
      role: InstanceRole.agent,
      region,
      dataCentre,
      address: `http://${addresses.internal}`,
      weightsAddress: `http://${addresses.weights}`,
      service,
      state: InstanceState.live,
    };
    return new WeightPeers(self, platform.originRegion, () => this.instances.getAgents(service));
  }

  private async serveWeights(signal: AbortSignal): Promise<void> {
    const server = new WeightServer(
      this.weightStore,
      new SendScheduler(
        new ConstantRateLimiter(this.clock, this.settings.options.weightBytesPerSecond),
      ),
      (digest, receiver, chunk) =>
        sendingPriority(this.weightPeers.topology(digest), receiver, chunk),
    );
    const listener = await listen(
      this.settings.listen.weights,
      (request, response) => {
        if (request.url === '/metrics') response.end(this.metrics.render());
        else void server.handle(request, response);
      },
      signal,
    );
    listener.keepAliveTimeout = optionDefaults.requestTimeoutMs;
  }

  private resolvePolicy(scope: Scope): Policy {
    const { dataCentre, service, instance } = this.settings;
    const place = { dataCentre, service, instance, ...scope };
    return policyFor(this.follower.configuration, place, this.clock.wall());
  }

  /** Polls the endpoint's load; a new boot id means that it is cold again. */
  private async pollEndpoint(signal: AbortSignal): Promise<void> {
    const source = this.endpoint.engine ?? this.endpoint.plain;
    while (!signal.aborted) {
      const report = await source?.getLoadReport(signal).catch(() => undefined);
      if (report) this.applyLoadReport(report);
      await this.clock.sleep(loadPollMs, signal).catch(() => undefined);
    }
  }

  private applyLoadReport(report: LoadReport): void {
    this.gate.applyReport(report);
    this.endpointRunner.bootId = report.boot;
    this.weightReconciler?.observe(report);
  }
}
