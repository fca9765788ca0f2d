import type { Clock, Endpoint, Metrics, Random, ServiceProfile } from '@laburnumstream/common';
import {
  AttemptOutcome,
  BegunAdmission,
  EndpointHealth,
  EndpointLoad,
  EndpointPace,
  EngineMemory,
  EngineModel,
  NamedLimit,
  ServiceTime,
  SharedRateLimiter,
  capacityShare,
} from '@laburnumstream/decisions';
import type { PlacementTarget, ReportedLoad, CapacitySharers } from '@laburnumstream/decisions';
import { ConnectionPool } from './connectionPool.js';
import { acceptsConnection } from './endpointProbe.js';
import { WindowChanges } from './windowChanges.js';

/** A stream that can be resumed at another endpoint. */
export interface MovableStream {
  /** Whether its first event has arrived. */
  readonly hasEvents: boolean;
  /** Requests that the stream be resumed at another endpoint. */
  readonly move: () => void;
}

/** Time without an event on any stream after which an endpoint counts as silent, in milliseconds. */
const silenceTimeoutMs = 500;
/** Time over which entries forget a limit of which nothing is heard, in milliseconds. */
const maxAddedMemoryMs = 60_000;
/** Concurrent requests to a plain service that does not state how many it runs. */
const defaultSlots = 8;

/** Longest time for which one response makes an endpoint count as cold, in milliseconds. */
const maxColdMs = 10_000;

/** Limits of an engine's queue: requests beyond its slots, and the time to process waiting prompts. */
export const engineQueueLimits = { spare: 1, unreadMs: 200 } as const;

/** This entry's view of an endpoint: its connections, load and health. */
export class EndpointHandle implements PlacementTarget {
  readonly pool: ConnectionPool;

  readonly load: EndpointLoad;

  readonly coldRate: SharedRateLimiter;

  readonly namedLimit: NamedLimit;

  readonly begunAdmission = new BegunAdmission();

  /** Identifies the endpoint from its start to its end, among all entries. */
  readonly incarnation: string;

  /** Streams that this entry has open at the endpoint. */
  private readonly streams = new Set<MovableStream>();

  /** Monotonic time of the last event, or of the first open stream's start, in milliseconds. */
  private lastActivityAt = 0;

  private coldEndsAt = 0;

  private agentVersion: number | undefined;

  /**
   * Monotonic time since when a response to this entry has shown that it holds no weights, in milliseconds; undefined
   * if none has, or its agent has reported since.
   */
  missingWeightsSince: number | undefined;

  /** Whether its agent is about to load another version of the weights. */
  isSwitching = false;

  /** Monotonic time at which it will unload its weights, in milliseconds; undefined when not planned. */
  switchAt: number | undefined;

  private answersAgent = true;

  /** Whether it is known to have ended or to be out of reach. */
  isLost = false;

  /** The check of whether it is lost; undefined before the first one. */
  private lossCheck: Promise<void> | undefined;

  model: EngineModel | undefined;

  /** Bounds what requests hold in an engine's key-value cache; undefined for a plain service. */
  memory: EngineMemory | undefined;

  /** Pace of its instance, as it and its agent state it. */
  readonly statedPace = new EndpointPace();

  /** Service time of a plain service, learned from its answers. */
  readonly learnedTime = new ServiceTime();

  /** Limits how often changes of its window are logged. */
  readonly windowChanges = new WindowChanges();

  private hasUnreadablePace = false;

  /** The version that its agent reports as outdated, and since when. */
  private reportedOutdated: { readonly version: number; readonly at: number } | undefined;

  /** Monotonic time since when it is to get no requests, in milliseconds. */
  private retirementAt: number | undefined;

  /** Monotonic time of the last sign that this incarnation of the endpoint runs, in milliseconds. */
  private signOfLifeAt = -Infinity;

  constructor(
    public endpoint: Endpoint,
    public profile: ServiceProfile | undefined,
    readonly isLocal: boolean,
    readonly region: string,
    private readonly clock: Clock,
    metrics: Metrics,
    /** Number of other entries that send requests to it. */
    peers: () => number,
    /** Phase of this entry among the others, from 0 to 1. */
    phase: number,
    readonly health = new EndpointHealth(),
  ) {
    this.incarnation = `${endpoint.id}@${endpoint.startedAt}`;
    this.coldRate = new SharedRateLimiter(phase);
    this.namedLimit = new NamedLimit(phase * maxAddedMemoryMs);
    const getMax = (): number => this.slots + engineQueueLimits.spare;
    this.load = new EndpointLoad(peers, isLocal, getMax, phase);
    this.load.window.openForUnknown();
    this.health.observe((...outcome) => this.adaptToOutcome(...outcome));
    this.pool = new ConnectionPool(endpoint.address, clock, metrics);
    this.updateProfile(profile);
  }

  get id(): string {
    return this.endpoint.id;
  }

  /** Whether adaptive admission applies to its service. */
  get isAdaptive(): boolean {
    return this.load.window.isEnabled;
  }

  /** Records whether adaptive admission applies to its service. */
  adapt(isAdaptive: boolean): void {
    this.load.window.isEnabled = isAdaptive;
  }

  get pace(): EndpointPace | undefined {
    return this.isAdaptive ? this.statedPace : undefined;
  }

  get serviceTime(): ServiceTime | undefined {
    return this.isAdaptive ? this.learnedTime : undefined;
  }

  /** Monotonic time at which its cold start ends, in milliseconds. */
  get coldUntil(): number {
    return this.coldEndsAt;
  }

  set coldUntil(at: number) {
    const now = this.clock.now();
    if (at > now && this.coldEndsAt <= now) this.load.window.restart(now);
    this.coldEndsAt = at;
  }

  /** Complete version that its agent last reported, 0 for none; undefined before the first report. */
  get reportedVersion(): number | undefined {
    return this.agentVersion;
  }

  set reportedVersion(version: number | undefined) {
    const isChange = this.agentVersion !== undefined && version !== this.agentVersion;
    if (isChange && version) this.load.window.restart(this.clock.now());
    this.agentVersion = version;
  }

  /** Whether the endpoint responds to its agent, according to the last report. */
  get isAnswering(): boolean {
    return this.answersAgent;
  }

  set isAnswering(isAnswering: boolean) {
    if (isAnswering && !this.answersAgent) this.load.window.restart(this.clock.now());
    this.answersAgent = isAnswering;
  }

  /** Whether the entries of the region, which tell each other their loads, share its window. */
  get sharesWindow(): boolean {
    return this.model !== undefined && this.isLocal;
  }

  /** Requests that count in its window: those of all entries that share it, else this entry's. */
  windowedRequests(now: number): number {
    return this.sharesWindow ? this.load.outstanding(now) : this.load.ownRequests;
  }

  /** Records the remaining time of a cold start that a response states, in milliseconds. */
  recordColdLeft(ms: number, now: number): void {
    if (ms > 0) this.coldUntil = Math.max(this.coldUntil, now + Math.min(ms, maxColdMs));
  }

  /** Records that it states an unreadable pace; returns whether it is the first time. */
  takeUnreadablePace(): boolean {
    const isFirst = !this.hasUnreadablePace;
    this.hasUnreadablePace = true;
    return isFirst;
  }

  get lastSignOfLifeAt(): number {
    return this.signOfLifeAt;
  }

  /** Monotonic time since when it is to get no requests, in milliseconds; undefined while it may. */
  get retiredAt(): number | undefined {
    return this.retirementAt;
  }

  /** Records that it is to get no requests since a monotonic time, in milliseconds; the earliest one counts. */
  retire(at: number): void {
    this.retirementAt = Math.min(at, this.retirementAt ?? at);
  }

  /** Records that it may get requests again. */
  resume(): void {
    this.retirementAt = undefined;
  }

  recordSignOfLife(at: number): void {
    this.signOfLifeAt = Math.max(this.signOfLifeAt, at);
  }

  /**
   * Checks once whether the endpoint is lost. Its registration also ends while it runs: it may be leaving, or
   * its heartbeats may not reach the store.
   */
  checkLoss(): Promise<void> {
    this.lossCheck ??= acceptsConnection(this.endpoint.address).then((isAccepted) => {
      this.isLost = !isAccepted;
    });
    return this.lossCheck;
  }

  get slots(): number {
    return this.endpoint.slots || defaultSlots;
  }

  /** Version of the weights of which it holds all layers; undefined when there is none. */
  get version(): number | undefined {
    if (this.reportedVersion !== undefined) return this.reportedVersion || undefined;
    const { layers } = this.endpoint;
    const isComplete = layers?.from === 0 && layers.to === this.profile?.engine?.layers;
    return isComplete ? layers.version : undefined;
  }

  /** Time since when its agent reports a version as outdated, in milliseconds of the caller's clock; infinite if not. */
  reportedOutdatedAt(version: number): number {
    return this.reportedOutdated?.version === version ? this.reportedOutdated.at : Infinity;
  }

  /** Records since when its agent reports a version as outdated; infinite if it does not. */
  recordOutdated(version: number, at: number): void {
    const isReported = at < Infinity;
    // Of several reports the earliest counts, as a report may lie in the socket while this instance is suspended.
    const earliestAt = Math.min(at, this.reportedOutdatedAt(version));
    this.reportedOutdated = isReported ? { version, at: earliestAt } : undefined;
  }

  /** Adds a stream that was sent to the endpoint. */
  addStream(stream: MovableStream, now: number): void {
    if (this.streams.size === 0) this.lastActivityAt = now;
    this.streams.add(stream);
  }

  removeStream(stream: MovableStream): void {
    this.streams.delete(stream);
  }

  /** Records that a stream has delivered an event. */
  recordEvent(now: number): void {
    if (this.isSilent(now)) this.load.window.restart(now);
    this.lastActivityAt = now;
    this.recordSignOfLife(now);
  }

  /** Whether it has open streams but has sent no event for too long. */
  isSilent(now: number): boolean {
    return this.streams.size > 0 && now - this.lastActivityAt > silenceTimeoutMs;
  }

  /** Applies a load report of the engine's agent; `sharers` are the entries that share its capacity. */
  applyLoadReport(load: ReportedLoad, sharers: CapacitySharers, random: Random, now: number): void {
    if (load.slowdown > 0) this.statedPace.record(load.slowdown, now);
    const free = this.slots + engineQueueLimits.spare - load.running - load.waiting;
    const capacity = Math.min(free, this.model?.promptsWithin(engineQueueLimits.unreadMs) ?? free);
    this.load.applyReport(
      load,
      this.load.ownRequests,
      capacityShare(capacity, sharers, random),
      now,
    );
  }

  updateProfile(profile: ServiceProfile | undefined): void {
    if (profile?.engine && profile.engine !== this.profile?.engine) this.model = undefined;
    this.profile = profile;
    if (!profile?.engine) return;
    this.model ??= new EngineModel(profile.engine);
    this.memory = new EngineMemory(profile.engine);
  }

  /** Adapts the window to the outcome of a request. */
  private adaptToOutcome(outcome: AttemptOutcome, wasEjected: boolean, now: number): void {
    const { window } = this.load;
    if (outcome === AttemptOutcome.failed || outcome === AttemptOutcome.refused)
      window.recordFailure(this.windowedRequests(now), now);
    else if (wasEjected && outcome === AttemptOutcome.responded) window.restart(now);
  }

  /**
   * Moves its streams to other endpoints: those without an event immediately, the others if they
   * are still running after `graceMs`.
   */
  moveStreams(graceMs: number): void {
    const streams = [...this.streams];
    streams.filter(({ hasEvents }) => !hasEvents).forEach((stream) => stream.move());
    const moveRest = (): void =>
      streams.filter((stream) => this.streams.has(stream)).forEach((stream) => stream.move());
    setTimeout(moveRest, graceMs);
  }
}
