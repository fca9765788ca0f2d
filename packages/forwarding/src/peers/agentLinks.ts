import type { Clock, FleetSettings, Log, Metrics, Random } from '@laburnumstream/common';
import { FleetDatagrams } from '@laburnumstream/links';
import type { DatagramHandlers } from '@laburnumstream/links';
import type { EndpointReport } from '@laburnumstream/protocol';
import { AgentUpdates } from './agentUpdates.js';
import type { DemandControl } from './demandControl.js';
import type { DemandExchange } from './demandExchange.js';
import { CrashExchange } from '../crashes/crashExchange.js';
import type { CrashGuard } from '../crashes/crashGuard.js';
import type { EndpointDirectory } from '../endpoints/endpointDirectory.js';
import type { EndpointHandle } from '../endpoints/endpointHandle.js';
import { EntryPeers } from './entryPeers.js';
import type { FleetState } from '../fleet/fleetState.js';
import { LimitExchange } from './limitExchange.js';
import { LoadBroadcast } from './loadBroadcast.js';

/** Interval between two rounds of updates to agents and other entries, in milliseconds. */
const updateIntervalMs = 1_000;
/** Time in which changes are batched into one update, in milliseconds. */
const changeBatchMs = 15;
/** Time that streams get to end at an engine that is about to load other weights, in milliseconds. */
const moveGraceMs = 250;
const permille = 1_000;

/** Sends updates to the agents of engines and receives their reports. */
export class AgentLinks {
  private readonly datagrams: FleetDatagrams;

  private readonly peers: EntryPeers;

  private readonly loadBroadcast: LoadBroadcast;

  private readonly crashExchange: CrashExchange;

  private readonly limitExchange: LimitExchange;

  private readonly demandExchange: DemandExchange | undefined;

  private readonly updates: AgentUpdates;

  private timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly settings: FleetSettings,
    state: FleetState,
    private readonly directory: EndpointDirectory,
    private readonly guard: CrashGuard,
    private readonly clock: Clock,
    private readonly random: Random,
    metrics: Metrics,
    private readonly log: Log,
    /** Called after each report, which may have freed capacity at the endpoint. */
    private readonly onReport: (endpoint: EndpointHandle) => void,
    private readonly demand?: DemandControl,
  ) {
    const handlers: DatagramHandlers = {
      report: (report) => this.handleReport(report),
      load: (load, { sender }) => this.loadBroadcast.receive(load, sender),
      limits: (limits, { sender }) =>
        this.limitExchange.receive(limits, sender).forEach((handle) => this.onReport(handle)),
      crashes: (update, { host }) => this.crashExchange.receive(update, host),
      demand: (report, from) => this.demandExchange?.receive(report, from),
    };
    this.datagrams = new FleetDatagrams(settings.instance, handlers, clock, metrics, log);
    this.peers = new EntryPeers(settings, state);
    this.updates = new AgentUpdates(
      settings,
      state,
      directory,
      this.peers,
      this.datagrams,
      clock,
      random,
      (service) => demand?.room.isReliant(service) ?? false,
    );
    this.demandExchange = demand?.createExchange(this.peers, this.datagrams, metrics);
    this.loadBroadcast = new LoadBroadcast(this.peers, directory, this.datagrams, clock);
    this.limitExchange = new LimitExchange(this.peers, directory, this.datagrams, clock, log);
    this.crashExchange = new CrashExchange(this.peers, guard, this.datagrams);
  }

  async run(signal: AbortSignal): Promise<void> {
    await this.datagrams.bind(this.settings.host, this.settings.firstPort, signal);
    void this.demandExchange?.run(signal);
    while (!signal.aborted) {
      this.updates.sendRegular();
      this.loadBroadcast.send();
      this.crashExchange.repeatQuarantines();
      this.limitExchange.repeat();
      await this.clock.sleep(updateIntervalMs, signal).catch(() => undefined);
    }
  }

  /** Schedules updates to agents after a change of the fleet. */
  scheduleUpdate(): void {
    this.timer ??= setTimeout(() => {
      this.timer = undefined;
      this.updates.sendChanges();
    }, changeBatchMs);
  }

  /** Schedules a broadcast after this entry's load at an endpoint has changed. */
  handleLoadChange(handle: EndpointHandle): void {
    this.loadBroadcast.recordChange(handle);
  }

  /** Records that a response of an endpoint named a limit on its requests, or none. */
  recordNamedLimit(handle: EndpointHandle, perSecond: number | undefined): void {
    this.limitExchange.recordResponse(handle, perSecond);
  }

  private handleReport(report: EndpointReport): void {
    const handle = this.directory.findByAddress(report.address);
    if (
      !handle ||
      (handle.endpoint.startedAt !== 0 && handle.endpoint.startedAt !== Number(report.bornAt))
    )
      return;
    const now = this.clock.now();
    const { running, waiting, pacePermille, version, isSwitching, isAnswering } = report;
    const sharers =
      this.demand?.room.getSharers(handle, this.loadBroadcast.countRequests(handle)) ??
      this.directory.getCapacitySharers(handle.region);
    const load = { running, waiting, slowdown: pacePermille / permille };
    handle.recordSignOfLife(now - report.answeredMsAgo);
    handle.applyLoadReport(load, sharers, this.random, now);
    if (handle.reportedVersion !== version || handle.isSwitching !== isSwitching) {
      this.log.info('Engine changed.', { endpoint: handle.id, version, isSwitching, isAnswering });
    }
    if (!isAnswering && handle.isAnswering) this.guard.recordLoss(handle);
    const switchAt = report.switchInMs === undefined ? undefined : now + report.switchInMs;
    // The engine aborts its running requests before it loads other weights.
    if (isSwitching && !handle.isSwitching) handle.moveStreams(moveGraceMs);
    this.loadBroadcast.applyVersion(handle, version, now - report.answeredMsAgo);
    Object.assign(handle, { isSwitching, isAnswering, switchAt });
    this.directory.startBounds.recordOutdated(handle, version, report.outdatedMsAgo);
    this.onReport(handle);
  }
}
