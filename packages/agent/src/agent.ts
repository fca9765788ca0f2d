import { InstanceRole, InstanceState, optionDefaults } from '@laburnumstream/common';
import type { Instance, LoadReport, Log } from '@laburnumstream/common';
import { isIn, policyDefaults, policyFor, sendingPriority } from '@laburnumstream/decisions';
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
import { EndpointRuns } from './endpointRuns.js';
import type { Endpoint } from './endpointRuns.js';
import { openEndpoint } from './openEndpoint.js';
import { Presence } from './presence.js';
import type { Report } from './presence.js';
import type { RunHandler } from './runHandler.js';
import { makeRunHandler } from './runParts.js';
import { Slots } from './slots.js';
import { WeightFetcher } from './weightFetcher.js';
import { WeightKeeper } from './weightKeeper.js';
import { WeightPeers } from './weightPeers.js';
import { ConstantPace } from './pace.js';
import { WeightSender } from './weightSender.js';
import { WeightServer } from './weightServer.js';
import { WeightStore } from './weightStore.js';

const drainPollMs = 20;
const loadPollMs = 500;
/** Time in which connections that have no call are closed by both ends, in milliseconds. */
const goodbyeMs = 200;
const chunkTimeoutMs = 10_000;

type ProcessEvent = 'READY' | 'STOP' | 'DRAINED';

/** One agent process: wires the parts together and owns their lifetimes. */
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

  private readonly guard: PauseGuard;

  private internal: InternalServer | undefined;

  private wasOut = false;

  private readonly instances: InstanceCache;

  private readonly runs: RunHandler;

  private readonly endpoint: Endpoint;

  private readonly endpointRuns: EndpointRuns;

  private readonly weights: WeightStore;

  private readonly peers: WeightPeers;

  private readonly keeper: WeightKeeper | undefined;

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
    const weightOf = (workspace: string): number => this.policyOf({ workspace }).weight;
    this.gate = new EndpointGate(policyDefaults, weightOf, this.clock, this.metrics);
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
    this.presence = this.makePresence();
    this.guard = new PauseGuard(
      this.clock,
      options.pauseLimitMs,
      () => this.recheck(),
      logs.forComponent('process'),
    );
    this.endpoint = openEndpoint(settings, this.gate, this.clock);
    this.endpointRuns = new EndpointRuns(this.endpoint, () => this.keeper?.serving ?? '');
    this.runs = makeRunHandler({
      settings,
      configuration: () => this.follower.configuration,
      gate: this.gate,
      endpoint: this.endpointRuns,
      isSettled: () => this.guard.isSettled(),
      store: new HttpKeyValueStore(platform.keyValue, options.platformTimeoutMs),
      clock: this.clock,
      metrics: this.metrics,
      log: logs.forComponent('requests'),
      signal: this.abort.signal,
    });
    this.weights = new WeightStore(options.weightMemoryBytes);
    this.peers = this.makePeers();
    this.keeper = this.endpoint.engine && this.makeKeeper();
  }

  /** Starts serving; resolves when all servers listen. */
  async start(): Promise<void> {
    const { settings, abort } = this;
    const { signal } = abort;
    const { host, port } = parseAddress(settings.listen.internal);
    this.internal = await serveInternal(
      { host, port, secrets: this.secrets },
      (router) => {
        router.service(AgentService, {
          session: (requests, context) =>
            serveSession(
              requests,
              (request, ended) => this.runs.run(request, ended),
              context.signal,
            ),
          probe: () => ({ load: this.runs.load() }),
        });
      },
      this.metrics,
      signal,
    );
    await this.serveWeights(signal);
    void this.instances.run(signal);
    void this.presence.heartbeat.run(signal);
    void this.guard.run(signal);
    void this.followEndpoint(signal);
    this.keeper?.start(readChart('weights'), signal);
    const process = readChart('process');
    this.lifecycle = new Lifecycle(process, {}, this.logs.forComponent('process'), signal);
    this.lifecycle.send('READY');
    this.log.info('Agent started.', { internal: settings.listen.internal });
  }

  /** Puts other shared secrets in force. */
  replaceSecrets(secrets: readonly string[]): void {
    this.secrets.replace(secrets);
    this.log.info('Secrets replaced.', { accepted: secrets.length });
  }

  /**
   * Refuses new requests, tells the entries until one has confirmed, waits for running requests
   * and for late ones of entries that have not heard yet, and ends.
   */
  async stop(): Promise<void> {
    this.lifecycle?.send('STOP');
    this.runs.drain();
    await this.presence.withdraw(this.abort.signal);
    await this.clock.sleep(this.settings.options.leaveNoticeMs);
    while (this.runs.active > 0) await this.clock.sleep(drainPollMs);
    await this.internal?.drain(goodbyeMs);
    this.lifecycle?.send('DRAINED');
    this.abort.abort();
  }

  private report(): ReturnType<Report> {
    const unfit = this.keeper?.unfit;
    const serving = this.keeper?.servedDigests ?? [];
    return { serving, load: this.runs.load(), ...(unfit ? { unfit } : {}) };
  }

  private makePresence(): Presence {
    return new Presence(
      this.settings,
      this.links,
      () => this.instances.entries,
      () => this.report(),
      this.follower,
      () => this.runs.drain(),
      this.clock,
      this.logs.forComponent('heartbeat'),
    );
  }

  private async recheck(): Promise<void> {
    this.metrics.count('pauses');
    await this.presence.recheck();
  }

  private applyConfiguration(configuration: Configuration): void {
    const isOut = !isIn(configuration, this.settings.dataCentre);
    // While it was out, its caches went cold.
    if (this.wasOut && !isOut) this.gate.turnCold('return');
    this.wasOut = isOut;
    this.gate.rebind(this.policyOf({}));
  }

  private makeKeeper(): WeightKeeper {
    const { settings, logs, clock, metrics } = this;
    const { options, platform, instance } = settings;
    const routes = {
      origin: new HttpWeightOrigin(platform.origin, chunkTimeoutMs),
      peers: this.peers,
      receiving: new ConstantPace(clock, options.weightBytesPerSecond),
    };
    const log = logs.forComponent('weights');
    const store = new HttpKeyValueStore(platform.keyValue, options.platformTimeoutMs);
    return new WeightKeeper(
      settings,
      () => this.follower.configuration,
      () => this.runs.load(),
      () => this.neighbours(),
      this.endpoint.engine!,
      this.weights,
      new WeightFetcher(routes, this.weights, clock, metrics, log),
      new Slots(store, clock, options.slotLeaseMs, instance),
      clock,
      metrics,
      log,
    );
  }

  private neighbours(): number {
    const { service, dataCentre } = this.settings;
    return this.instances.getAgents(service).filter((each) => each.dataCentre === dataCentre)
      .length;
  }

  private makePeers(): WeightPeers {
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
      this.weights,
      new WeightSender(new ConstantPace(this.clock, this.settings.options.weightBytesPerSecond)),
      (digest, receiver, chunk) => sendingPriority(this.peers.topology(digest), receiver, chunk),
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

  private policyOf(scope: Scope): Policy {
    const { dataCentre, service, instance } = this.settings;
    const place = { dataCentre, service, instance, ...scope };
    return policyFor(this.follower.configuration, place, this.clock.wall());
  }

  /** Reads the endpoint's load; another boot id means that it is cold again. */
  private async followEndpoint(signal: AbortSignal): Promise<void> {
    const source = this.endpoint.engine ?? this.endpoint.plain;
    while (!signal.aborted) {
      const report = await source?.getLoadReport(signal).catch(() => undefined);
      if (report) this.observe(report);
      await this.clock.sleep(loadPollMs, signal).catch(() => undefined);
    }
  }

  private observe(report: LoadReport): void {
    this.gate.report(report);
    this.endpointRuns.bootId = report.boot;
    this.keeper?.observe(report);
  }
}
