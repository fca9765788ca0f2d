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
import { ConfigurationProof, SharedRetryBudget } from '@laburnumstream/decisions';
import { CallerServer } from './callerServer.js';
import { DispatchLine } from './dispatchLine.js';
import { entryGauges } from './entryGauges.js';
import { EndpointDirectory } from './endpointDirectory.js';
import { EventStreams } from './eventStreams.js';
import { EntryRegistration } from './entryRegistration.js';
import type { FleetCodec } from './fleetChange.js';
import { FleetFeed } from './fleetFeed.js';
import { FleetState } from './fleetState.js';
import type { HeaderCodec } from './headerCodec.js';
import { serveReadiness } from './readiness.js';
import { SharingEntries } from './sharingEntries.js';
import { SidecarLinks } from './sidecarLinks.js';
import { WholeAnswers } from './wholeAnswers.js';

/** What an entry needs from outside. */
export interface EntryPorts {
  readonly settings: ForwarderSettings;
  readonly store: StoreFeed & KeyValueStore;
  readonly fleetCodec: FleetCodec;
  readonly headerCodec: HeaderCodec;
  readonly clock: Clock;
  readonly random: Random;
  readonly metrics: Metrics;
  /** A log for a part of the process. */
  readonly log: (part: string) => Log;
}

/** Part of the time for removed keys that a proof may be old: the rest is for requests on their way. */
const proofShare = 0.92;
/** Time beyond that for a new configuration after which nobody is told that a key is not there. */
const denialSlackMs = 500;
/** Time in which the balancer and callers notice that this process leaves, in milliseconds. */
const noticeMs = 3_000;
/** Time after which an entry that is gone is no longer registered, in milliseconds. */
const leaseMs = 9_000;
const drainPollMs = 50;
/** Time that is left for the end of a process that has to stop, in milliseconds. */
const stopMarginMs = 1_000;

function addressOf(address: string): { host: string; port: number } {
  const [host = '', port = '0'] = address.split(':');
  return { host, port: Number(port) };
}

/** The entry on a platform with a store: forwards callers' requests straight to endpoints. */
export class ForwardingEntry {
  private readonly state: FleetState;

  private readonly feed: FleetFeed;

  private readonly directory: EndpointDirectory;

  private readonly line: DispatchLine;

  private readonly callers: CallerServer;

  private readonly sidecars: SidecarLinks;

  private readonly registration: EntryRegistration;

  private isStopping = false;

  constructor(private readonly ports: EntryPorts) {
    const { settings, store, fleetCodec, headerCodec, clock, random, metrics, log } = ports;
    const { bounds } = settings;
    const proofClock = new SleepAwareClock(clock);
    const proof = new ConfigurationProof(
      bounds.revocationMs * proofShare,
      bounds.configurationMs + denialSlackMs,
    );
    this.state = new FleetState(metrics, log('fleet'), () => this.fleetChanged());
    const sharing = new SharingEntries(this.state, settings, clock);
    const confirm = (calledAt: number): void => {
      proof.confirm(calledAt);
      sharing.storeAnswered();
    };
    this.feed = new FleetFeed(
      store,
      fleetCodec,
      this.state,
      { confirm },
      proofClock,
      clock,
      metrics,
      log('store'),
      bounds.versionMs,
    );
    this.directory = new EndpointDirectory(settings, this.state, clock, metrics, random, sharing);
    this.line = new DispatchLine(this.directory, clock, random, metrics, log('line'));
    this.sidecars = new SidecarLinks(
      settings,
      this.state,
      this.directory,
      clock,
      random,
      metrics,
      log('sidecars'),
      (handle) => this.line.look(handle.endpoint.service, handle),
    );
    this.registration = new EntryRegistration(
      store,
      fleetCodec.entryKey(settings.instance),
      fleetCodec.encodeEntry(settings),
      Math.max(leaseMs, settings.store.minLeaseMs),
      clock,
      metrics,
      log('registration'),
    );
    const bound = {
      ratio: bounds.retryRatio,
      slack: bounds.retrySlack,
      windowMs: bounds.retryWindowMs,
    };
    const services = {
      line: this.line,
      directory: this.directory,
      budget: new SharedRetryBudget(bound, () => sharing.forRepeats),
      loadChanged: () => this.sidecars.loadChanged(),
      codec: headerCodec,
      clock,
      metrics,
      log: log('requests'),
    };
    const forwardings = {
      [RouteKind.idempotent]: new WholeAnswers(services, true),
      [RouteKind.nonIdempotent]: new WholeAnswers(services, false),
      [RouteKind.stream]: new EventStreams(services),
    };
    const checks = {
      mayHonour: () => !bounds.failsClosed || proof.mayHonour(proofClock.now()),
      mayDeny: () => proof.mayDeny(proofClock.now()),
      ageMs: () => proof.ageMs(proofClock.now()),
    };
    this.callers = new CallerServer(
      this.state,
      checks,
      forwardings,
      headerCodec,
      clock,
      random,
      metrics,
      log('callers'),
    );
    const { state, directory, line, callers } = this;
    const { budget } = services;
    const parts = { state, directory, line, callers, budget, checks, clock };
    metrics.registerGauges(() => entryGauges(parts));
  }

  /** Starts serving; resolves when all servers listen. */
  async start(signal: AbortSignal): Promise<void> {
    const { callerAddress: callers, readinessAddress: readiness } = this.ports.settings;
    const ready = addressOf(readiness);
    void this.feed.run(signal);
    void this.sidecars.run(signal);
    void this.registration.run(signal);
    await serveReadiness(ready.host, ready.port, () => this.isReady(), signal);
    const { host, port } = addressOf(callers);
    await this.callers.listen(host, port);
  }

  /** Lets running requests end; resolves when there are none or the time is over. */
  async stop(): Promise<void> {
    const { clock, settings } = this.ports;
    this.isStopping = true;
    void this.registration.withdraw();
    this.callers.leave();
    const endAt = clock.now() + settings.bounds.shutdownMs - stopMarginMs;
    const noticeAt = clock.now() + Math.min(noticeMs, settings.bounds.shutdownMs / 2);
    while (clock.now() < noticeAt) await clock.sleep(drainPollMs);
    this.callers.closeIdle();
    while (this.callers.active > 0 && clock.now() < endAt) await clock.sleep(drainPollMs);
  }

  private isReady(): boolean {
    return !this.isStopping && this.state.routes !== undefined;
  }

  private fleetChanged(): void {
    this.callers.applyLimits();
    this.directory.refresh();
    this.sidecars.tellSoon();
    this.line.lookAtAll();
  }
}
