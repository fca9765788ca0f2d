import type { Chart, Clock, Log, Metrics, Random, SidecarSettings } from '@laburnumstream/common';
import { FleetDatagrams } from '@laburnumstream/links';
import { Notifier } from '@laburnumstream/runtime';
import { EngineMonitor } from './engineMonitor.js';
import { FleetView } from './fleetView.js';
import type { LocalEngine, PieceOrigin } from './localEngine.js';
import { PeerClient } from './peerClient.js';
import { PieceGossip } from './pieceGossip.js';
import { PieceServer } from './pieceServer.js';
import { EngineReporter } from './engineReporter.js';
import { sidecarGauges } from './sidecarGauges.js';
import { Uplink } from './uplink.js';
import { VersionCache } from './versionCache.js';
import { WeightUpdater } from './weightUpdater.js';

/** Dependencies of a sidecar. */
export interface SidecarDependencies {
  readonly settings: SidecarSettings;
  readonly engine: LocalEngine;
  readonly origin: PieceOrigin;
  /** The state chart `switch`. */
  readonly chart: Chart;
  readonly clock: Clock;
  readonly random: Random;
  readonly metrics: Metrics;
  /** Creates the log of a part of the process. */
  readonly log: (part: string) => Log;
}

/** Time for which a stop waits for pieces that are being sent, in milliseconds. */
const pieceDrainMs = 1_500;
const drainPollMs = 20;

/** The agent on a platform with a store: reports the load of its engine and updates its weights. */
export class Sidecar {
  private readonly view: FleetView;

  private readonly datagrams: FleetDatagrams;

  private readonly monitor: EngineMonitor;

  private readonly reporter: EngineReporter;

  private readonly pieceServer: PieceServer;

  private readonly gossip: PieceGossip;

  private readonly updater: WeightUpdater;

  private readonly peers: PeerClient;

  private readonly changes = new Notifier();

  /** The engine's state at the last poll, as far as the updater acts on it. */
  private lastEngineState = '';

  constructor(private readonly dependencies: SidecarDependencies) {
    const { settings, engine, origin, clock, random, metrics, log } = dependencies;
    const { instance, host, dataCentre, regions, firstPort, bounds } = settings;
    this.view = new FleetView(host, dataCentre, regions, clock, log('fleet'));
    this.datagrams = new FleetDatagrams(
      instance,
      {
        fleet: (announcement, from) => {
          this.reporter.subscribe(from.sender, from.host, announcement.reportEveryMs);
          if (announcement.weights && this.view.update(announcement.weights)) this.onFleetChanged();
        },
        pieces: (message, from) => this.gossip.receive(message, from.host),
      },
      clock,
      metrics,
      log('datagrams'),
    );
    this.monitor = new EngineMonitor(engine, clock, metrics, log('engine'), () =>
      this.onEnginePolled(),
    );
    const versions = new VersionCache();
    const uplink = new Uplink(settings.linkBitsPerSecond, () => this.updater.isServing, clock);
    this.pieceServer = new PieceServer(versions, uplink, metrics, log('pieces'));
    this.gossip = new PieceGossip(this.view, versions, uplink, this.datagrams, clock);
    this.peers = new PeerClient(firstPort + 1);
    const fetchDependencies = {
      peers: this.peers,
      origin,
      clock,
      random,
      metrics,
      log: log('weights'),
    };
    this.updater = new WeightUpdater(
      this.view,
      this.monitor,
      engine,
      versions,
      this.gossip,
      fetchDependencies,
      this.changes,
      bounds.versionMs,
      () => this.reporter.report(),
    );
    this.reporter = new EngineReporter(
      settings.endpointAddress,
      this.monitor,
      () => this.updater.weightState,
      this.datagrams,
      clock,
    );
    const { view, monitor, updater } = this;
    metrics.registerGauges(() => sidecarGauges(view, monitor, updater, versions));
  }

  /** Starts the agent; resolves when all sockets are bound. */
  async start(signal: AbortSignal): Promise<void> {
    const { settings, chart } = this.dependencies;
    const { host, firstPort } = settings;
    await this.datagrams.bind(host, firstPort, signal);
    await this.pieceServer.listen(host, firstPort + 1, signal);
    void this.monitor.run(signal);
    this.updater.run(chart, signal);
  }

  /** Refuses to send pieces to other agents and resolves when those that are being sent have arrived. */
  async stop(): Promise<void> {
    const { clock } = this.dependencies;
    const endAt = clock.now() + pieceDrainMs;
    this.pieceServer.startDraining();
    while (this.pieceServer.isSending && clock.now() < endAt) await clock.sleep(drainPollMs);
  }

  /** Wakes the updater and closes the connections to members that left. */
  private onFleetChanged(): void {
    this.peers.retainHosts(new Set(this.view.members.map(({ name }) => name)));
    this.changes.notify();
  }

  /** Wakes the updater when the engine has changed, and sends reports to entries. */
  private onEnginePolled(): void {
    const { state, isAnswering } = this.monitor;
    const engineState = `${state?.bornAt} ${this.updater.servedVersion} ${isAnswering}`;
    if (engineState !== this.lastEngineState) this.changes.notify();
    this.lastEngineState = engineState;
    this.reporter.report();
  }
}
