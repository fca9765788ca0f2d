import type { Chart, Clock, Log, Metrics, Random, SidecarSettings } from '@laburnumstream/common';
import { FleetDatagrams } from '@laburnumstream/links';
import { Notifier } from '@laburnumstream/runtime';
import { EngineWatch } from './engineWatch.js';
import { FleetView } from './fleetView.js';
import type { LocalEngine, PieceOrigin } from './localEngine.js';
import { PeerClient } from './peerClient.js';
import { PieceGossip } from './pieceGossip.js';
import { PieceServer } from './pieceServer.js';
import { Reporter } from './reporter.js';
import { sidecarGauges } from './sidecarGauges.js';
import { Uplink } from './uplink.js';
import { VersionShelf } from './versionShelf.js';
import { WeightKeeper } from './weightKeeper.js';

/** What a sidecar needs from outside. */
export interface SidecarPorts {
  readonly settings: SidecarSettings;
  readonly engine: LocalEngine;
  readonly origin: PieceOrigin;
  /** The chart `switch`. */
  readonly chart: Chart;
  readonly clock: Clock;
  readonly random: Random;
  readonly metrics: Metrics;
  /** A log for a part of the process. */
  readonly log: (part: string) => Log;
}

/** The agent on a platform with a store: reports its engine's load and keeps its weights. */
export class Sidecar {
  private readonly view: FleetView;

  private readonly datagrams: FleetDatagrams;

  private readonly watch: EngineWatch;

  private readonly reporter: Reporter;

  private readonly pieces: PieceServer;

  private readonly gossip: PieceGossip;

  private readonly keeper: WeightKeeper;

  private readonly changes = new Notifier();

  /** What the keeper acts on, as it last was. */
  private lastState = '';

  constructor(private readonly ports: SidecarPorts) {
    const { settings, engine, origin, clock, random, metrics, log } = ports;
    const { instance, host, dataCentre, regions, firstPort, bounds } = settings;
    this.view = new FleetView(host, dataCentre, regions, clock, log('fleet'));
    this.datagrams = new FleetDatagrams(
      instance,
      {
        fleet: (news, from) => {
          this.reporter.subscribe(from.sender, from.host, news.reportEveryMs);
          if (news.weights && this.view.take(news.weights)) this.changes.notify();
        },
        pieces: (news, from) => this.gossip.heard(news, from.host),
      },
      clock,
      metrics,
      log('datagrams'),
    );
    this.watch = new EngineWatch(engine, clock, metrics, log('engine'), () => this.engineAsked());
    const shelf = new VersionShelf();
    const uplink = new Uplink(settings.linkBitsPerSecond, () => this.keeper.isServing, clock);
    this.pieces = new PieceServer(shelf, uplink, metrics, log('pieces'));
    this.gossip = new PieceGossip(this.view, shelf, uplink, this.datagrams, clock);
    const peers = new PeerClient(firstPort + 1);
    const services = { peers, origin, clock, random, metrics, log: log('weights') };
    this.keeper = new WeightKeeper(
      this.view,
      this.watch,
      engine,
      shelf,
      this.gossip,
      services,
      this.changes,
      bounds.versionMs,
      () => this.reporter.report(),
    );
    this.reporter = new Reporter(
      settings.endpointAddress,
      this.watch,
      () => this.keeper.weightState,
      this.datagrams,
      clock,
    );
    const { view, watch, keeper } = this;
    metrics.registerGauges(() => sidecarGauges(view, watch, keeper, shelf));
  }

  /** Starts working; resolves when all sockets are bound. */
  async start(signal: AbortSignal): Promise<void> {
    const { settings, chart } = this.ports;
    const { host, firstPort } = settings;
    await this.datagrams.bind(host, firstPort, signal);
    await this.pieces.listen(host, firstPort + 1, signal);
    void this.watch.run(signal);
    this.keeper.run(chart, signal);
  }

  /** Wakes the keeper when the engine has changed, and tells entries of its load. */
  private engineAsked(): void {
    const { state, isAnswering } = this.watch;
    const now = `${state?.bornAt} ${this.keeper.servedVersion} ${isAnswering}`;
    if (now !== this.lastState) this.changes.notify();
    this.lastState = now;
    this.reporter.report();
  }
}
