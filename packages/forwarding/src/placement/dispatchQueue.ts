import type { Clock, Log, Metrics, Random } from '@laburnumstream/common';
import { RequestStage, ServedRatios, WaitQueue, bestPlacement } from '@laburnumstream/decisions';
import type { Placement } from '@laburnumstream/decisions';
import type { EndpointHandle } from '../endpoints/endpointHandle.js';
import type { EndpointSource } from '../endpoints/endpointSource.js';
import { Refusal, RefusalReason } from '../callers/refusal.js';
import { createCandidate } from './candidate.js';
import type { Candidate, PendingRequest } from './candidate.js';
import { openPolicies } from './dispatchPolicies.js';
import type { DispatchPolicies } from './dispatchPolicies.js';
import type { PlacementRequest } from './placementRequest.js';
import { Refusals } from './refusals.js';
import { SearchBounds } from './searchBounds.js';
import { stagePolicies } from './stagePolicy.js';
import { WaitEnd } from '../callers/waitEnd.js';
import { WaitEstimates } from './waitEstimates.js';

/** Time between checks of queued requests without any other trigger, in milliseconds. */
const recheckIntervalMs = 20;
/** Time that the response needs to reach the caller, in milliseconds. */
const responseTransitMs = 10;
/**
 * Number of queued requests for which a place is sought after an event, of those that have begun and of the others. An
 * event frees one place; with more, its cost would grow with the queue. The regular check goes through all.
 */
const searchedPerEvent = 32;
/**
 * Share of the time to the goal that the estimated time may take. It is smaller for groups that were
 * served more often than others, so that requests with short goals or large prompts are not starved.
 */
const goalShare = { base: 0.75, min: 0.35, max: 1, perLead: 3 } as const;
/** Longest time that a request which its caller can send again waits for the retry budget, in milliseconds. */
const maxBudgetWaitMs = 1_000;

/** Stages of requests whose callers have received a part of the response. */
const begunStages: ReadonlySet<RequestStage> = new Set([RequestStage.begun, RequestStage.moving]);

/** Counts a request at its endpoint until it is sent, or until the event loop's next turn if it is not. */
function countPlacement(
  { load, model, memory }: EndpointHandle,
  { demand }: PlacementRequest,
): void {
  const { promptTokens, maxAnswerTokens: maxOutputTokens } = demand;
  const heldTokens = memory?.neededTokens({ promptTokens, maxOutputTokens });
  load.recordPlacement(model?.prefillMs(promptTokens) ?? 0, heldTokens);
  setImmediate(() => load.dropPlacements());
}

/** Queues requests until an endpoint can serve them in time, and refuses those that would be too late. */
export class DispatchQueue {
  private readonly queues = new Map<string, WaitQueue<PendingRequest>>();

  private readonly shares = new Map<string, ServedRatios>();

  private readonly policies: DispatchPolicies;

  private readonly estimates: WaitEstimates;

  private readonly refusals: Refusals;

  private isRecheckScheduled = false;

  constructor(
    private readonly directory: EndpointSource,
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly metrics: Metrics,
    private readonly log: Log,
    policies: Partial<DispatchPolicies> = {},
  ) {
    const { isAdaptive, waitsForRecovery = isAdaptive } = policies;
    this.policies = { ...openPolicies, ...policies, ...(waitsForRecovery && { waitsForRecovery }) };
    this.estimates = new WaitEstimates(directory, this.policies);
    this.refusals = new Refusals(
      directory,
      this.estimates,
      (service) => this.policies.isAdaptive(service),
      clock,
      random,
      metrics,
      log,
    );
  }

  /** Resolves with an endpoint; rejects with a `Refusal` if the request can't be served in time. */
  place(request: PlacementRequest, signal: AbortSignal): Promise<Placement<EndpointHandle>> {
    const now = this.clock.now();
    const queue = this.getQueue(request.service);
    if (request.stage !== RequestStage.callerRetry)
      this.getShares(request).recordArrival(request.fairnessGroups, now);
    this.policies.demand.recordArrival(request, now);
    this.estimates.getOutlook(request.service).recordArrival(now);
    const refusal = this.findStopRefusalOf(request);
    if (refusal) return Promise.reject(refusal);
    const candidate = createCandidate(request);
    const ahead = queue.countAhead(request, now);
    // Less urgent requests may be held back while there is room, and must not delay this one.
    const isAdaptive = this.policies.isAdaptive(request.service);
    const isNext = isAdaptive ? ahead === 0 : queue.contenders === 0;
    const placement = isNext ? this.tryPlacement(candidate, now) : undefined;
    if (placement) return Promise.resolve(this.recordPlacement(request, placement, now));
    const expectedMs = queue.expectedWaitMs(now, isAdaptive ? ahead : undefined);
    const end = this.findWaitEnd(candidate, now, now + expectedMs, ahead);
    if (end) return Promise.reject(this.createRefusal(candidate, end, expectedMs, ahead));
    return new Promise((resolve, reject) => {
      // A request may wait many times, each with a listener.
      const ended = new AbortController();
      const queued: PendingRequest = {
        ...candidate,
        resolve: (placed) => {
          ended.abort();
          resolve(placed);
        },
        reject: (error) => {
          ended.abort();
          reject(error);
        },
      };
      const abort = (): void => {
        if (queue.remove(queued)) queued.reject(DispatchQueue.createAbortRefusal());
      };
      signal.addEventListener('abort', abort, { once: true, signal: ended.signal });
      queue.enqueue(queued, now);
      this.dispatchFirst(queue, now);
      this.scheduleRecheck();
    });
  }

  /**
   * Dispatches queued requests of a service after capacity may have become free, at one endpoint or
   * anywhere. Queued requests found none elsewhere, so only the endpoint that changed is checked.
   */
  dispatch(service: string, changed?: EndpointHandle): void {
    const queue = this.queues.get(service);
    if (!queue || queue.length === 0) return;
    const now = this.clock.now();
    if (changed) this.dispatchFirst(queue, now, [changed]);
    else this.dispatchQueued(queue, now);
  }

  /** Seeks places for the first requests of a queue. */
  private dispatchFirst(
    queue: WaitQueue<PendingRequest>,
    now: number,
    among?: readonly EndpointHandle[],
  ): void {
    const bounds = new SearchBounds(searchedPerEvent);
    queue.first(searchedPerEvent).forEach((queued) => {
      if (bounds.allows(queued)) this.dispatchOne(queue, queued, now, bounds, among);
    });
  }

  /** Goes through all requests of a queue in order: seeks places, and refuses those that can't be served in time. */
  private dispatchQueued(queue: WaitQueue<PendingRequest>, now: number): void {
    const bounds = new SearchBounds(searchedPerEvent);
    let ahead = 0;
    queue.inDispatchOrder(now).forEach((queued) => {
      const isSought = bounds.allows(queued);
      if (isSought && this.dispatchOne(queue, queued, now, bounds)) return;
      const end = this.findWaitEnd(queued, now, now, ahead);
      if (!end) {
        if (queued.stage !== RequestStage.begun) ahead += 1;
        return;
      }
      // The search did not reach it, so a place is sought before it is refused.
      if (!isSought && bounds.hasRoom(queued) && this.dispatchOne(queue, queued, now, bounds))
        return;
      if (!queue.remove(queued)) return;
      queued.reject(this.createRefusal(queued, end, 0, ahead));
    });
  }

  /** Seeks a place for a queued request; returns whether its wait has ended. */
  private dispatchOne(
    queue: WaitQueue<PendingRequest>,
    queued: PendingRequest,
    now: number,
    bounds: SearchBounds,
    among?: readonly EndpointHandle[],
  ): boolean {
    const refusal = this.findStopRefusalOf(queued);
    if (refusal) {
      queue.remove(queued);
      queued.reject(refusal);
      return true;
    }
    const placement = this.tryPlacement(queued, now, among);
    if (!placement) {
      bounds.recordFailure(queued);
      return false;
    }
    queue.remove(queued);
    queued.resolve(this.recordPlacement(queued, placement, now));
    return true;
  }

  /** Dispatches queued requests of all services. */
  dispatchAll(): void {
    this.queues.forEach((_queue, service) => this.dispatch(service));
  }

  /** Returns the delay after which a caller is asked to retry whose request endpoints have refused. */
  findRetryDelay(request: PlacementRequest, usualMs: number): number {
    const queue = this.getQueue(request.service);
    const ahead = queue.countAhead(request, this.clock.now());
    return this.refusals.findRetryDelay(createCandidate(request), ahead, queue.length, usualMs);
  }

  /** Number of queued requests by service. */
  get queueLengths(): ReadonlyMap<string, number> {
    return new Map([...this.queues].map(([service, { length }]) => [service, length]));
  }

  private scheduleRecheck(): void {
    if (this.isRecheckScheduled) return;
    this.isRecheckScheduled = true;
    void this.clock.sleep(recheckIntervalMs).then(() => {
      this.isRecheckScheduled = false;
      this.dispatchAll();
      if ([...this.queues.values()].some(({ length }) => length > 0)) this.scheduleRecheck();
    });
  }

  /** Returns a placement that the retry budget allows, if there is one. */
  private tryPlacement(
    request: Candidate,
    now: number,
    among?: readonly EndpointHandle[],
  ): Placement<EndpointHandle> | undefined {
    const placement = this.findPlacement(request, now, among);
    if (!placement) return undefined;
    if (request.acquireRetry?.() ?? true) return placement;
    Object.assign(request, { budgetDeniedAt: request.budgetDeniedAt ?? now });
    return undefined;
  }

  private findPlacement(
    request: Candidate,
    now: number,
    among?: readonly EndpointHandle[],
  ): Placement<EndpointHandle> | undefined {
    const { service, eligibility, demand } = request;
    const targets = this.directory.available(service, eligibility, among);
    Object.assign(request, { foundCount: targets.length });
    if (!among) Object.assign(request, { availableCount: targets.length });
    const addedCostMs = begunStages.has(request.stage)
      ? ({ begunAdmission }: EndpointHandle): number => begunAdmission.costMs(now)
      : undefined;
    const best = bestPlacement(targets, demand, now, this.random, addedCostMs);
    if (!best) return undefined;
    const availableMs =
      (request.goalAt - now - responseTransitMs) * this.getGoalShare(request, now);
    const isInTime = best.expectedMs <= availableMs;
    if (!stagePolicies[request.stage].accepts(request, best, isInTime, now)) return undefined;
    return this.policies.reserve.admits(request, best.target, now) ? best : undefined;
  }

  /** Returns why a request may not be sent; a begun one is sent on for as long as this process runs. */
  private findStopRefusalOf({ stage, deadlineAt }: PlacementRequest): Refusal | undefined {
    return begunStages.has(stage) ? undefined : this.policies.findStopRefusal(deadlineAt);
  }

  private getGoalShare(request: PlacementRequest, now: number): number {
    const { base, min, max, perLead } = goalShare;
    const surplus = this.getShares(request).surplus(request.fairnessGroups, now);
    const share = base - surplus * perLead;
    return Math.min(max, Math.max(min, share));
  }

  /** Returns why a request that is sent at `startAt` can't be useful; undefined if it can. */
  private findWaitEnd(
    request: Candidate,
    now: number,
    startAt: number,
    ahead: number,
  ): WaitEnd | undefined {
    const { stage, budgetDeniedAt = Infinity } = request;
    if (!begunStages.has(stage) && now - budgetDeniedAt > maxBudgetWaitMs)
      return WaitEnd.retryBudget;
    const facts = this.estimates.createFacts(request, now, startAt, () => ahead);
    return stagePolicies[stage].findWaitEnd(request, facts);
  }

  private recordPlacement(
    request: PlacementRequest,
    placement: Placement<EndpointHandle>,
    now: number,
  ): Placement<EndpointHandle> {
    const { target, expectedMs } = placement;
    this.directory.recordPlacement(target);
    if (begunStages.has(request.stage)) target.begunAdmission.recordPlacement(now);
    this.getQueue(request.service).recordServed(request.workspace, now);
    if (request.stage !== RequestStage.callerRetry)
      this.getShares(request).recordServed(request.fairnessGroups, now);
    const isInTime = now + expectedMs <= request.goalAt;
    this.policies.demand.recordPlacement(request, isInTime, now);
    this.estimates.getOutlook(request.service).recordPlacement(!isInTime, now);
    this.metrics.observe('request_wait', now - request.arrivedAt);
    this.logPlacement(request, placement, isInTime, now);
    countPlacement(target, request);
    return placement;
  }

  private logPlacement(
    request: PlacementRequest,
    { target, expectedMs }: Placement<EndpointHandle>,
    isInTime: boolean,
    now: number,
  ): void {
    this.log.info('Request placed.', {
      id: request.id,
      service: request.service,
      endpoint: target.id,
      expectedMs: Math.round(expectedMs),
      occupied: target.load.outstanding(now),
      reportAgeMs: Math.round(target.load.reportAgeMs(now)),
      waitedMs: Math.round(now - request.arrivedAt),
      isReturned: request.stage === RequestStage.callerRetry,
      leftMs: Math.round(request.goalAt - now),
      isLate: !isInTime,
      unreadMs: Math.round(target.load.unreadMs(now)),
      configuration: request.configurationVersion,
      proofAgeMs: Math.round(request.configurationAgeMs),
    });
  }

  private createRefusal(
    request: Candidate,
    end: WaitEnd,
    expectedMs: number,
    ahead: number,
  ): Refusal {
    this.policies.demand.recordRefusal(request, this.clock.now());
    const waiting = this.getQueue(request.service).length;
    return this.refusals.create(request, { end, expectedMs, ahead, waiting });
  }

  private static createAbortRefusal(): Refusal {
    return new Refusal(RefusalReason.deadline, 'The request was aborted while it was queued.', 0);
  }

  /** Returns the served ratios that a request is compared with: of its priority, where priorities compete. */
  private getShares({ service, priority }: PlacementRequest): ServedRatios {
    const key = this.policies.isAdaptive(service) ? `${service} ${priority}` : service;
    let shares = this.shares.get(key);
    if (!shares) {
      shares = new ServedRatios();
      this.shares.set(key, shares);
    }
    return shares;
  }

  private getQueue(service: string): WaitQueue<PendingRequest> {
    let queue = this.queues.get(service);
    if (!queue) {
      queue = new WaitQueue();
      this.queues.set(service, queue);
    }
    return queue;
  }
}
