import { SeededRandom, Unavailable } from '@laburnumstream/common';
import type { Endpoint, FleetConfiguration } from '@laburnumstream/common';
import {
  EngineModel,
  RequestStage,
  RetryPurpose,
  RouteTable,
  SharedRetryBudget,
} from '@laburnumstream/decisions';
import {
  DispatchQueue,
  EndpointDirectory,
  EntryCounts,
  FleetState,
} from '@laburnumstream/forwarding';
import type { EndpointHandle, PlacementRequest } from '@laburnumstream/forwarding';
import { VirtualClock } from '@laburnumstream/standins';
import { heavyProfile } from './heavyDay.js';
import { drawHeavyLoad } from './heavyLoad.js';
import type { HeavyRequest } from './heavyLoad.js';
import { VirtualEngine } from './virtualEngine.js';
import { noMetrics, silentLog } from './silentObservers.js';
import { virtualBounds } from './virtualBounds.js';

/** How an entry learns that an engine has weights again. */
export type WeightNews = 'reports' | 'registrations' | 'none';

/** A load on one entry whose engines are registered with weights that some of them have lost. */
export interface ReturningShape {
  readonly seed: number;
  readonly engines: number;
  readonly rateFactor: number;
  readonly seconds: number;
  /** Time at which an engine has weights, in milliseconds. */
  readonly readyAt: (engine: number) => number;
  readonly news: WeightNews;
  readonly isAdaptive: boolean;
}

/** What became of a caller's request. */
export interface ReturningOutcome {
  readonly request: HeavyRequest;
  /** Monotonic time of the first event; undefined if it was refused for good. */
  firstEventAt: number | undefined;
  /** Time of each refusal and what it said, in milliseconds; a caller comes back once. */
  readonly refusals: {
    readonly at: number;
    readonly waitedMs: number;
    readonly retryAfterMs: number;
    readonly leftMs: number;
  }[];
  /** Number of responses with status 421. */
  misdirections: number;
}

const service = 'model';
const timeoutMs = 6_000;
const reportIntervalMs = 300;
/** Time between the start of an instance and the first report of its agent, in milliseconds. */
const firstReportMs = 500;
const answerMs = 2;
const drainMs = 9_000;
const secondMs = 1_000;
const maxReturnShare = 1 / 3;
const settings = {
  instance: 'entry-0',
  host: '10.0.0.1',
  dataCentre: 'a',
  region: 'r',
  regions: new Map([['a', 'r']]),
  firstPort: 9_000,
  linkBitsPerSecond: 21e6,
  store: { address: '10.2.0.1:1', minLeaseMs: 1_000 },
  heartbeatMs: 1_200,
  memoryBytes: 350_000_000,
  callerAddress: '10.0.0.1:1',
  readinessAddress: '10.0.0.1:2',
  isFirstStart: true,
  bounds: { ...virtualBounds, retrySlack: 6 },
};

function createEndpoint(engine: number, startedAt: number): Endpoint {
  return {
    id: `engine-${engine}`,
    startedAt,
    service,
    address: `10.0.1.${engine}:80`,
    dataCentre: 'a',
    slots: heavyProfile.engine!.slots,
    isDraining: false,
    coldRemainingMs: 0,
    layers: { from: 0, to: heavyProfile.engine!.layers, version: 1 },
  };
}

/** Callers that come back once after a refusal, and engines that lost their weights. */
export class ReturningCallers {
  private readonly clock = new VirtualClock();

  private readonly random: SeededRandom;

  private readonly model = new EngineModel(heavyProfile.engine!);

  private readonly engines: VirtualEngine[];

  private readonly state = new FleetState(noMetrics, silentLog, () => undefined);

  private readonly directory: EndpointDirectory;

  private readonly queue: DispatchQueue;

  private readonly budget: SharedRetryBudget;

  private readonly outcomes: ReturningOutcome[] = [];

  constructor(private readonly shape: ReturningShape) {
    const { seed, engines, isAdaptive } = shape;
    const { clock, state } = this;
    this.random = new SeededRandom(seed);
    this.engines = Array.from({ length: engines }, () => new VirtualEngine(this.model, clock));
    const configuration: FleetConfiguration = {
      version: 1,
      routes: [],
      services: new Map([[service, { ...heavyProfile, name: service }]]),
      limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
      workspaces: [],
      requiresKeys: false,
    };
    state.setConfiguration(new RouteTable(configuration));
    state.setEntry(settings.instance, { host: settings.host, dataCentre: 'a' });
    this.engines.forEach((_engine, index) => state.setEndpoint(createEndpoint(index, 1), 0));
    const counts = new EntryCounts(state, settings, clock);
    counts.update();
    this.directory = new EndpointDirectory(
      settings,
      state,
      clock,
      noMetrics,
      this.random,
      counts,
      clock,
    );
    this.directory.refresh();
    const policies = { isAdaptive: () => isAdaptive };
    this.queue = new DispatchQueue(
      this.directory,
      clock,
      this.random,
      noMetrics,
      silentLog,
      policies,
    );
    const { retryRatio: ratio, retrySlack: slack, retryWindowMs: windowMs } = settings.bounds;
    this.budget = new SharedRetryBudget({ ratio, slack, windowMs }, () => 1);
  }

  /** Runs the load and returns what became of each request. */
  async run(): Promise<readonly ReturningOutcome[]> {
    const { rateFactor, seconds, news } = this.shape;
    const endAt = seconds * secondMs + drainMs;
    drawHeavyLoad(rateFactor, seconds, this.random).forEach((request) =>
      this.clock.schedule(request.arrivesAt, () => void this.submit(request)),
    );
    if (news === 'registrations') this.engines.forEach((_engine, index) => this.register(index));
    if (news === 'reports')
      for (let at = firstReportMs; at < endAt; at += reportIntervalMs)
        this.clock.schedule(at, () => this.report());
    await this.clock.runUntil(endAt);
    return this.outcomes;
  }

  private register(engine: number): void {
    this.clock.schedule(this.shape.readyAt(engine), () => {
      this.state.setEndpoint(createEndpoint(engine, 2), this.clock.now());
      this.directory.refresh();
      this.queue.dispatchAll();
    });
  }

  private report(): void {
    const now = this.clock.now();
    this.engines.forEach((engine, index) => {
      const handle = this.directory.get(`engine-${index}`)!;
      handle.recordSignOfLife(now);
      handle.applyLoadReport(
        engine.load,
        this.directory.getCapacitySharers(handle.region),
        this.random,
        now,
      );
      Object.assign(handle, { reportedVersion: this.isReady(index) ? 1 : 0 });
      this.queue.dispatch(service, handle);
    });
  }

  private isReady(engine: number): boolean {
    return this.clock.now() >= this.shape.readyAt(engine);
  }

  private async submit(request: HeavyRequest): Promise<void> {
    const outcome: ReturningOutcome = {
      request,
      firstEventAt: undefined,
      refusals: [],
      misdirections: 0,
    };
    this.outcomes.push(outcome);
    this.budget.recordRequest(service, this.clock.now());
    const delayMs = await this.attempt(outcome, RequestStage.fresh);
    const leftMs = request.arrivesAt + timeoutMs - this.clock.now();
    if (delayMs === undefined || delayMs > leftMs * maxReturnShare) return;
    await this.clock.sleep(delayMs);
    this.budget.recordRequest(service, this.clock.now());
    await this.attempt(outcome, RequestStage.callerRetry);
  }

  /** Sends a request until an engine has it; returns the delay that a refusal names, if it is refused. */
  private async attempt(
    outcome: ReturningOutcome,
    stage: RequestStage,
  ): Promise<number | undefined> {
    const { request } = outcome;
    const startedAt = this.clock.now();
    const deadline = new AbortController();
    this.clock.schedule(request.arrivesAt + timeoutMs, () => deadline.abort());
    try {
      for (;;) {
        const isMisdirected = outcome.misdirections > 0;
        const placed = this.createRequest(outcome.request, stage, startedAt, isMisdirected);
        const { target } = await this.queue.place(placed, deadline.signal);
        // Asked again when the connection is ready.
        if (!this.directory.maySend(target)) continue;
        if (this.send(target, outcome)) return undefined;
        await this.clock.sleep(answerMs);
        target.load.recordEnd();
        this.directory.recordMisdirection(target);
      }
    } catch (error) {
      if (!(error instanceof Unavailable)) throw error;
      const now = this.clock.now();
      const { retryAfterMs = 0 } = error;
      const leftMs = request.arrivesAt + timeoutMs - now;
      outcome.refusals.push({ at: now, waitedMs: now - startedAt, retryAfterMs, leftMs });
      return retryAfterMs;
    }
  }

  private createRequest(
    { id, workspace, kind, arrivesAt, promptTokens, events }: HeavyRequest,
    stage: RequestStage,
    arrivedAt: number,
    isMisdirected: boolean,
  ): PlacementRequest {
    const { model, clock, budget } = this;
    const goalAt = arrivesAt + kind.goalMs;
    const answerTokens = events * heavyProfile.engine!.stepsPerPass;
    const wholeMs =
      model.firstEventMs(model.slots - 1, 0, promptTokens) + model.generationMs(answerTokens);
    const acquireRetry = (): boolean =>
      budget.tryAcquire(service, clock.now(), RetryPurpose.failure);
    return {
      id,
      service,
      workspace,
      priority: 1,
      stage: isMisdirected ? RequestStage.fresh : stage,
      configurationVersion: 1,
      configurationAgeMs: 0,
      isRetryable: true,
      arrivedAt,
      startBy: model.latestStart(goalAt, promptTokens),
      demand: { promptTokens, answerTokens },
      fairnessGroups: [kind.name],
      eligibility: { homeRegions: [], tried: new Set<string>(), needsProof: isMisdirected },
      goalAt,
      deadlineAt: arrivesAt + timeoutMs,
      latestStartAt: arrivesAt + timeoutMs - wholeMs,
      waitsPastGoal: isMisdirected,
      ...(isMisdirected ? { acquireRetry } : {}),
    };
  }

  /** Sends a request to an engine; returns false if the engine has no weights. */
  private send(target: EndpointHandle, outcome: ReturningOutcome): boolean {
    const { promptTokens, events } = outcome.request;
    const index = Number(target.id.slice('engine-'.length));
    const prefillMs = this.model.prefillMs(promptTokens);
    target.load.recordStart(prefillMs);
    if (!this.isReady(index)) {
      target.load.recordPrefill(prefillMs);
      Object.assign(outcome, { misdirections: outcome.misdirections + 1 });
      return false;
    }
    this.engines[index]!.send({
      promptTokens,
      events,
      onEvent: (at) => {
        if (outcome.firstEventAt === undefined) target.load.recordPrefill(prefillMs);
        Object.assign(outcome, { firstEventAt: outcome.firstEventAt ?? at });
        target.recordSignOfLife(at);
      },
      onEnd: () => {
        target.load.recordEnd();
        this.queue.dispatch(service, target);
      },
    });
    return true;
  }
}
