import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import {
  HistogramMetrics,
  Lifecycle,
  PauseGuard,
  SystemClock,
  listen,
  createProcessAbort,
  readChart,
  sendFailure,
  parseAddress,
  systemRandom,
} from '@laburnumstream/runtime';
import type { EntrySettings, LoggerFactory } from '@laburnumstream/runtime';
import { Unavailable } from '@laburnumstream/common';
import type { Log } from '@laburnumstream/common';
import { isDataCentreInService } from '@laburnumstream/decisions';
import { LinkPool, RunSessions, Secrets, serveInternal } from '@laburnumstream/links';
import type { ConnectRouter, InternalServer } from '@laburnumstream/links';
import {
  HttpInstanceList,
  HttpKeyValueStore,
  HttpWeightOrigin,
  InstanceCache,
} from '@laburnumstream/clients';
import { EntryService } from '@laburnumstream/protocol';
import type { Member } from '@laburnumstream/protocol';
import { AttemptRunner } from './attemptRunner.js';
import { CallerServer } from './callerServer.js';
import { ConfigurationEditor } from './configurationEditor.js';
import { ConfigurationReplica } from './configurationReplica.js';
import { ConfigurationService } from './configurationService.js';
import { getConvictionRoutes } from './convictionRoutes.js';
import { CrashGuard } from './crashGuard.js';
import { MemberDirectory } from './memberDirectory.js';
import { MembershipGossip } from './membershipGossip.js';
import { OperatorHandlers } from './operatorHandlers.js';
import { OperatorServer } from './operatorServer.js';
import { RollOutGuard } from './rollOutGuard.js';
import { Prober } from './prober.js';
import { RequestDispatcher } from './requestDispatcher.js';
import { Router } from './router.js';

const drainPollMs = 20;
/** Time for which shutdown waits until idle connections are closed by both ends. */
const connectionCloseMs = 200;
const resyncTimeoutMs = 1_000;
const membershipPollMs = 50;

type ProcessEvent = 'READY' | 'STOP' | 'DRAINED';

/** The entry process: creates its components, connects them and manages their lifecycle. */
export class Entry {
  private readonly clock = new SystemClock();

  private readonly metrics = new HistogramMetrics();

  private readonly abort = createProcessAbort();

  private readonly log: Log;

  private readonly secrets: Secrets;

  private readonly links: LinkPool;

  private readonly instances: InstanceCache;

  private readonly directory: MemberDirectory;

  private readonly gossip: MembershipGossip;

  private readonly prober: Prober;

  private readonly pauseGuard: PauseGuard;

  private readonly replica: ConfigurationReplica;

  private readonly configurationService: ConfigurationService;

  private readonly crashGuard: CrashGuard;

  private readonly callerServer: CallerServer;

  private readonly operatorServer: OperatorServer;

  private readonly rollOutGuard: RollOutGuard;

  private internalServer: InternalServer | undefined;

  private callerListener: Server | undefined;

  private isMembershipKnown = false;

  private lifecycle: Lifecycle<ProcessEvent> | undefined;

  constructor(
    private readonly settings: EntrySettings,
    private readonly logs: LoggerFactory,
  ) {
    const { options, platform, instance } = settings;
    const { clock, metrics } = this;
    this.log = logs.forComponent('entry');
    this.secrets = new Secrets(settings.secrets);
    const now = (): number => clock.now();
    this.links = new LinkPool(this.secrets, options.linkAgeMs, now, this.abort.signal);
    this.directory = new MemberDirectory(clock, settings.dataCentre, options, systemRandom);
    this.instances = new InstanceCache(
      new HttpInstanceList(platform.instances, options.platformTimeoutMs),
      clock,
      options.instanceListMs,
      logs.forComponent('instances'),
      systemRandom,
    );
    this.gossip = this.createGossip();
    this.prober = new Prober(this.directory, this.links, clock);
    this.pauseGuard = new PauseGuard(
      clock,
      options.pauseLimitMs,
      (gapMs) => this.resyncAfterPause(gapMs),
      logs.forComponent('process'),
    );
    const store = new HttpKeyValueStore(platform.keyValue, options.platformTimeoutMs);
    this.replica = new ConfigurationReplica(metrics, logs.forComponent('configuration'));
    this.configurationService = new ConfigurationService(
      this.replica,
      {
        settings,
        store,
        links: this.links,
        entries: () => this.instances.entries,
        clock,
        random: systemRandom,
        metrics,
        log: logs.forComponent('configuration'),
      },
      this.abort.signal,
    );
    this.crashGuard = new CrashGuard(
      this.links,
      () => this.instances.entries.filter(({ name }) => name !== instance),
      clock,
      systemRandom,
      options.convictionMs,
      metrics,
      logs.forComponent('verdicts'),
    );
    const router = new Router(
      settings,
      () => this.replica.configuration,
      this.directory,
      clock,
      systemRandom,
    );
    const dispatcher = new RequestDispatcher(
      settings,
      () => this.replica.configuration,
      this.directory,
      new AttemptRunner(
        new RunSessions(this.links, this.abort.signal),
        clock,
        options.silenceMs,
        (load) => {
          this.directory.updateLoad(load);
          router.updateLoad(load);
        },
      ),
      this.crashGuard,
      router,
      () => clock.wall(),
      metrics,
      logs.forComponent('requests'),
    );
    this.callerServer = new CallerServer(
      settings,
      () => this.replica.configuration,
      dispatcher,
      clock,
      metrics,
      logs.forComponent('callers'),
    );
    const editor = new ConfigurationEditor(store, this.replica, clock, options.changeTimeoutMs);
    this.rollOutGuard = new RollOutGuard(
      () => this.replica.configuration,
      () => this.directory.liveMembers,
      editor,
      instance,
      clock,
      logs.forComponent('roll-outs'),
    );
    const handlers = new OperatorHandlers(
      instance,
      this.replica,
      editor,
      store,
      this.directory,
      new HttpWeightOrigin(platform.origin, options.platformTimeoutMs),
      clock,
    );
    this.operatorServer = new OperatorServer(
      settings,
      this.replica,
      [...handlers.getRoutes(), ...getConvictionRoutes(this.crashGuard)],
      metrics,
      clock,
      logs.forComponent('operators'),
    );
  }

  /** Starts all servers and background tasks; resolves when all servers listen. */
  async start(): Promise<void> {
    const { settings, abort } = this;
    const { signal } = abort;
    const { listen: addresses } = settings;
    const { secrets } = this;
    const { host, port } = parseAddress(addresses.internal);
    const routes = (router: ConnectRouter): void => this.registerInternalRoutes(router);
    this.internalServer = await serveInternal(
      { host, port, secrets },
      routes,
      this.metrics,
      signal,
    );
    void this.instances.run(signal);
    void this.configurationService.replicator.run(signal);
    void this.gossip.run(signal);
    void this.prober.run(signal);
    void this.crashGuard.run(signal);
    void this.rollOutGuard.run(signal);
    void this.pauseGuard.run(signal);
    void this.followDataCentreStates(signal);
    await listen(
      addresses.operators,
      (request, response) => void this.operatorServer.handle(request, response),
      signal,
    );
    this.callerListener = await listen(
      addresses.callers,
      (request, response) => void this.serveCaller(request, response),
      signal,
    );
    const process = readChart('process');
    this.lifecycle = new Lifecycle(process, {}, this.logs.forComponent('process'), signal);
    this.lifecycle.send('READY');
    this.log.info('Entry started.', { callers: addresses.callers });
  }

  /** Replaces the secrets shared with other processes. */
  replaceSecrets(secrets: readonly string[]): void {
    this.secrets.replace(secrets);
    this.log.info('Secrets replaced.', { accepted: secrets.length });
  }

  /**
   * Shuts down gracefully: fails readiness checks, keeps serving until the load balancer has
   * noticed, then closes the listener, waits for active requests and stops.
   */
  async stop(): Promise<void> {
    const { balancerNoticeMs } = this.settings.options;
    this.lifecycle?.send('STOP');
    this.callerServer.startDraining();
    await Promise.all([
      this.gossip.announceLeaving(this.abort.signal),
      this.clock.sleep(balancerNoticeMs),
    ]);
    this.callerListener?.close();
    this.callerListener?.closeIdleConnections();
    await this.clock.sleep(connectionCloseMs);
    while (this.callerServer.activeCount > 0) await this.clock.sleep(drainPollMs);
    await this.internalServer?.drain(connectionCloseMs);
    this.lifecycle?.send('DRAINED');
    this.abort.abort();
  }

  private createGossip(): MembershipGossip {
    const { settings, clock, directory, links } = this;
    const { instance: name, region, dataCentre, listen: addresses, options } = settings;
    const self = { name, region, dataCentre, address: `http://${addresses.internal}` };
    return new MembershipGossip(
      self,
      directory,
      () => this.instances.entries,
      links,
      clock,
      options.exchangeMs,
      this.logs.forComponent('members'),
    );
  }

  /**
   * After a process pause, requests wait until the configuration has been refreshed. After the
   * start, they wait until the members are known, and readiness checks fail until then.
   */
  private async serveCaller(request: IncomingMessage, response: ServerResponse): Promise<void> {
    if (!this.pauseGuard.isSettled()) await this.pauseGuard.waitUntilSettled();
    if (!this.hasMembership()) {
      if (request.url === '/ready') {
        sendFailure(response, new Unavailable('The members are not known yet.', membershipPollMs));
        return;
      }
      await this.waitForMembership();
    }
    await this.callerServer.handle(request, response);
  }

  /**
   * Whether enough members are known to route requests. The peer of the full sync may be new itself
   * and know only some members, so each service must have an endpoint, unless this entry has run
   * long enough to receive the heartbeats itself.
   */
  private hasMembership(): boolean {
    this.isMembershipKnown ||=
      this.gossip.isSynced && (this.gossip.hasWaitedForHeartbeats || this.hasEndpoints());
    return this.isMembershipKnown;
  }

  private hasEndpoints(): boolean {
    const services = Object.keys(this.replica.configuration.services);
    return services.every((name) => this.directory.candidates(name, () => true).length > 0);
  }

  private async waitForMembership(): Promise<void> {
    while (!this.hasMembership()) await this.clock.sleep(membershipPollMs);
  }

  private async resyncAfterPause(gapMs: number): Promise<void> {
    this.metrics.count('pauses');
    this.directory.members.compensatePause(gapMs);
    this.gossip.triggerExchange();
    await this.configurationService.replicator.refresh(AbortSignal.timeout(resyncTimeoutMs));
  }

  private async followDataCentreStates(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const { configuration } = this.replica;
      this.directory.updateRamps((dataCentre) => isDataCentreInService(configuration, dataCentre));
      await this.clock.sleep(this.settings.options.exchangeMs, signal).catch(() => undefined);
    }
  }

  private registerInternalRoutes(router: ConnectRouter): void {
    router.service(EntryService, {
      beat: ({ member }) => this.handleBeat(member),
      exchange: (request) => this.gossip.handleExchange(request),
      shareVerdicts: ({ verdicts }) => ({ verdicts: this.crashGuard.mergeVerdicts(verdicts) }),
      sync: (request) => this.configurationService.handleSync(request),
      announce: (request) => this.configurationService.handleAnnounce(request),
    });
  }

  private handleBeat(member: Member | undefined): {
    configurationRevision: bigint;
    knownIncarnation: bigint;
  } {
    const before = this.directory.members.revision;
    const known = member ? this.directory.recordHeartbeat(member) : 0;
    if (this.directory.members.revision !== before) this.gossip.triggerExchange();
    const { revision } = this.replica.configuration;
    return { configurationRevision: BigInt(revision), knownIncarnation: BigInt(known) };
  }
}
