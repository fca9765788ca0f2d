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
import { isIn } from '@laburnumstream/decisions';
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
import { AttemptReader } from './attempt.js';
import { CallerServer } from './callerServer.js';
import { ConfigurationEditor } from './configurationEditor.js';
import { ConfigurationKeeper } from './configurationKeeper.js';
import { ConfigurationService } from './configurationService.js';
import { convictionRoutes } from './convictionRoutes.js';
import { CrashGuard } from './crashGuard.js';
import { Directory } from './directory.js';
import { MemberExchange } from './memberExchange.js';
import { OperatorHandlers } from './operatorHandlers.js';
import { OperatorServer } from './operatorServer.js';
import { RollOutGuard } from './rollOutGuard.js';
import { Prober } from './prober.js';
import { RequestDispatcher } from './requestDispatcher.js';
import { Router } from './router.js';

const drainPollMs = 20;
/** Time in which connections that have no call are closed by both ends, in milliseconds. */
const goodbyeMs = 200;
const recheckMs = 1_000;
const informPollMs = 50;

type ProcessEvent = 'READY' | 'STOP' | 'DRAINED';

/** One entry process: wires the parts together and owns their lifetimes. */
export class Entry {
  private readonly clock = new SystemClock();

  private readonly metrics = new HistogramMetrics();

  private readonly abort = createProcessAbort();

  private readonly log: Log;

  private readonly secrets: Secrets;

  private readonly links: LinkPool;

  private readonly instances: InstanceCache;

  private readonly directory: Directory;

  private readonly exchange: MemberExchange;

  private readonly prober: Prober;

  private readonly pauseGuard: PauseGuard;

  private readonly keeper: ConfigurationKeeper;

  private readonly configuration: ConfigurationService;

  private readonly guard: CrashGuard;

  private readonly callers: CallerServer;

  private readonly operators: OperatorServer;

  private readonly rollOutGuard: RollOutGuard;

  private internal: InternalServer | undefined;

  private callerListener: Server | undefined;

  private knowsMembers = false;

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
    this.directory = new Directory(clock, settings.dataCentre, options, systemRandom);
    this.instances = new InstanceCache(
      new HttpInstanceList(platform.instances, options.platformTimeoutMs),
      clock,
      options.instanceListMs,
      logs.forComponent('instances'),
      systemRandom,
    );
    this.exchange = this.makeExchange();
    this.prober = new Prober(this.directory, this.links, clock);
    this.pauseGuard = new PauseGuard(
      clock,
      options.pauseLimitMs,
      (gapMs) => this.recheck(gapMs),
      logs.forComponent('process'),
    );
    const store = new HttpKeyValueStore(platform.keyValue, options.platformTimeoutMs);
    this.keeper = new ConfigurationKeeper(metrics, logs.forComponent('configuration'));
    this.configuration = new ConfigurationService(
      this.keeper,
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
    this.guard = new CrashGuard(
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
      () => this.keeper.configuration,
      this.directory,
      clock,
      systemRandom,
    );
    const dispatcher = new RequestDispatcher(
      settings,
      () => this.keeper.configuration,
      this.directory,
      new AttemptReader(
        new RunSessions(this.links, this.abort.signal),
        clock,
        options.silenceMs,
        (load) => {
          this.directory.observe(load);
          router.observe(load);
        },
      ),
      this.guard,
      router,
      () => clock.wall(),
      metrics,
      logs.forComponent('requests'),
    );
    this.callers = new CallerServer(
      settings,
      () => this.keeper.configuration,
      dispatcher,
      clock,
      metrics,
      logs.forComponent('callers'),
    );
    const editor = new ConfigurationEditor(store, this.keeper, clock, options.changeTimeoutMs);
    this.rollOutGuard = new RollOutGuard(
      () => this.keeper.configuration,
      () => this.directory.live,
      editor,
      instance,
      clock,
      logs.forComponent('roll-outs'),
    );
    const handlers = new OperatorHandlers(
      instance,
      this.keeper,
      editor,
      store,
      this.directory,
      new HttpWeightOrigin(platform.origin, options.platformTimeoutMs),
      clock,
    );
    this.operators = new OperatorServer(
      settings,
      this.keeper,
      [...handlers.routes(), ...convictionRoutes(this.guard)],
      metrics,
      clock,
      logs.forComponent('operators'),
    );
  }

  /** Starts serving; resolves when all servers listen. */
  async start(): Promise<void> {
    const { settings, abort } = this;
    const { signal } = abort;
    const { listen: addresses } = settings;
    const { secrets } = this;
    const { host, port } = parseAddress(addresses.internal);
    const routes = (router: ConnectRouter): void => this.internalRoutes(router);
    this.internal = await serveInternal({ host, port, secrets }, routes, this.metrics, signal);
    void this.instances.run(signal);
    void this.configuration.spreader.run(signal);
    void this.exchange.run(signal);
    void this.prober.run(signal);
    void this.guard.run(signal);
    void this.rollOutGuard.run(signal);
    void this.pauseGuard.run(signal);
    void this.followStates(signal);
    await listen(
      addresses.operators,
      (request, response) => void this.operators.handle(request, response),
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

  /** Puts other shared secrets in force. */
  replaceSecrets(secrets: readonly string[]): void {
    this.secrets.replace(secrets);
    this.log.info('Secrets replaced.', { accepted: secrets.length });
  }

  /**
   * Turns not ready, serves on while the balancer notices, then takes no more connections, lets
   * running requests end and stops.
   */
  async stop(): Promise<void> {
    const { balancerNoticeMs } = this.settings.options;
    this.lifecycle?.send('STOP');
    this.callers.drain();
    await Promise.all([
      this.exchange.withdraw(this.abort.signal),
      this.clock.sleep(balancerNoticeMs),
    ]);
    this.callerListener?.close();
    this.callerListener?.closeIdleConnections();
    await this.clock.sleep(goodbyeMs);
    while (this.callers.active > 0) await this.clock.sleep(drainPollMs);
    await this.internal?.drain(goodbyeMs);
    this.lifecycle?.send('DRAINED');
    this.abort.abort();
  }

  private makeExchange(): MemberExchange {
    const { settings, clock, directory, links } = this;
    const { instance: name, region, dataCentre, listen: addresses, options } = settings;
    const self = { name, region, dataCentre, address: `http://${addresses.internal}` };
    return new MemberExchange(
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
   * A process that stood still asks for the newest configuration before it acts on a request, and
   * a new one hears of the members before it is ready.
   */
  private async serveCaller(request: IncomingMessage, response: ServerResponse): Promise<void> {
    if (!this.pauseGuard.isSettled()) await this.pauseGuard.waitUntilSettled();
    if (!this.isInformed()) {
      if (request.url === '/ready') {
        sendFailure(response, new Unavailable('The members are not known yet.', informPollMs));
        return;
      }
      await this.informed();
    }
    await this.callers.handle(request, response);
  }

  /**
   * Whether the members are known well enough to route. The first entry that is asked may be new
   * itself and know but a part of them, so each service must have an endpoint, or time must have
   * passed.
   */
  private isInformed(): boolean {
    this.knowsMembers ||=
      this.exchange.isInformed && (this.exchange.hasWaited || this.hasEndpoints());
    return this.knowsMembers;
  }

  private hasEndpoints(): boolean {
    const services = Object.keys(this.keeper.configuration.services);
    return services.every((name) => this.directory.candidates(name, () => true).length > 0);
  }

  private async informed(): Promise<void> {
    while (!this.isInformed()) await this.clock.sleep(informPollMs);
  }

  private async recheck(gapMs: number): Promise<void> {
    this.metrics.count('pauses');
    this.directory.members.resume(gapMs);
    this.exchange.nudge();
    await this.configuration.spreader.refresh(AbortSignal.timeout(recheckMs));
  }

  private async followStates(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const { configuration } = this.keeper;
      this.directory.refresh((dataCentre) => isIn(configuration, dataCentre));
      await this.clock.sleep(this.settings.options.exchangeMs, signal).catch(() => undefined);
    }
  }

  private internalRoutes(router: ConnectRouter): void {
    router.service(EntryService, {
      beat: ({ member }) => this.takeBeat(member),
      exchange: (request) => this.exchange.answer(request),
      shareVerdicts: ({ verdicts }) => ({ verdicts: this.guard.exchange(verdicts) }),
      sync: (request) => this.configuration.sync(request),
      announce: (request) => this.configuration.announce(request),
    });
  }

  private takeBeat(member: Member | undefined): {
    configurationRevision: bigint;
    knownIncarnation: bigint;
  } {
    const before = this.directory.members.revision;
    const known = member ? this.directory.beat(member) : 0;
    if (this.directory.members.revision !== before) this.exchange.nudge();
    const { revision } = this.keeper.configuration;
    return { configurationRevision: BigInt(revision), knownIncarnation: BigInt(known) };
  }
}
