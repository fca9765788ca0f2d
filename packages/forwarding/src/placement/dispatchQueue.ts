import type { Clock, Log, Metrics, Random } from '@laburnumstream/common';
import {
  RequestStage,
  ServedRatios,
  WaitQueue,
  bestPlacement,
  pauseRetryDelayMs,
} from '@laburnumstream/decisions';
import type { Placement } from '@laburnumstream/decisions';
import type { EndpointHandle } from '../endpoints/endpointHandle.js';
import type { EndpointSource } from '../endpoints/endpointSource.js';
import { Refusal, RefusalReason } from '../callers/refusal.js';
import { openPolicies } from './dispatchPolicies.js';
import type { DispatchPolicies } from './dispatchPolicies.js';
import type { PlacementRequest } from './placementRequest.js';
import { stagePolicies } from './stagePolicy.js';
import { WaitEnd } from '../callers/waitEnd.js';
import { WaitEstimates } from './waitEstimates.js';

/** A request for which an endpoint is sought. */
interface Candidate extends PlacementRequest {
  /** Number of available endpoints when all were last checked; undefined before that. */
  availableCount: number | undefined;
  /** Monotonic time since when the retry budget keeps it from an endpoint with room, in milliseconds. */
  budgetDeniedAt: number | undefined;
}

interface PendingRequest extends Candidate {
  readonly resolve: (placement: Placement<EndpointHandle>) => void;
  readonly reject: (error: unknown) => void;
}

/** Time between checks of queued requests without any other trigger, in milliseconds. */
const recheckIntervalMs = 20;
/** Time that the response needs to reach the caller, in milliseconds. */
const responseTransitMs = 10;
/**
 * Share of the time to the goal that the estimated time may take. It is smaller for groups that were
 * served more often than others, so that requests with short goals or large prompts are not starved.
 */
const goalShare = { base: 0.75, min: 0.35, max: 1, perLead: 3 } as const;
/** Delay after which refused callers are asked to retry, in milliseconds; `spread` adds jitter. */
const retryDelayMs = { min: 900, spread: 700 } as const;
/** Longest time that a request which its caller can send again waits for the retry budget, in milliseconds. */
const maxBudgetWaitMs = 1_000;
/** Upper limit of that delay, as a share of the caller's remaining time. */
const maxRetryDelayShare = 1 / 3;

/** Stages of requests whose callers have received a part of the response. */
const begunStages: ReadonlySet<RequestStage> = new Set([RequestStage.begun, RequestStage.moving]);

/** Counts a request at its endpoint until its sender has sent it, or has not. */
function countPlacement({ load, model }: EndpointHandle, { demand }: PlacementRequest): void {
  load.recordPlacement(model?.prefillMs(demand.promptTokens) ?? 0);
  setImmediate(() => load.dropPlacements());
}

/** Queues requests until an endpoint can serve them in time, and refuses those that would be too late. */
export class DispatchQueue {
  private readonly queues = new Map<string, WaitQueue<PendingRequest>>();

  private readonly shares = new Map<string, ServedRatios>();

  private readonly policies: DispatchPolicies;

  private readonly estimates: WaitEstimates;

  private isRecheckScheduled = false;

  constructor(
    private readonly directory: EndpointSource,
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly metrics: Metrics,
    private readonly log: Log,
    policies: Partial<DispatchPolicies> = {},
  ) {
    this.policies = { ...openPolicies, ...policies };
    this.estimates = new WaitEstimates(directory, (service) => this.policies.isAdaptive(service));
  }

  /** Resolves with an endpoint; rejects with a `Refusal` if the request can't be served in time. */
  place(request: PlacementRequest, signal: AbortSignal): Promise<Placement<EndpointHandle>> {
    const now = this.clock.now();
    const queue = this.getQueue(request.service);
    if (request.stage !== RequestStage.callerRetry)
      this.getShares(request.service).recordArrival(request.fairnessGroups, now);
    this.policies.demand.recordArrival(request, now);
    this.estimates.getOutlook(request.service).recordArrival(now);
    const candidate = { ...request, availableCount: undefined, budgetDeniedAt: undefined };
    const refusal = this.findStopRefusalOf(request);
    if (refusal) return Promise.reject(refusal);
    const placement = queue.contenders === 0 ? this.tryPlacement(candidate, now) : undefined;
    if (placement) return Promise.resolve(this.recordPlacement(request, placement, now));
    const startAt = now + queue.expectedWaitMs(now);
    const countAhead = (): number => queue.countAhead(request, now);
    const end = this.findWaitEnd(candidate, now, startAt, countAhead);
    if (end) return Promise.reject(this.createRefusal(candidate, end, now, startAt, countAhead()));
    return new Promise((resolve, reject) => {
      const queued: PendingRequest = { ...candidate, resolve, reject };
      const abort = (): void => {
        if (queue.remove(queued)) reject(DispatchQueue.createAbortRefusal());
      };
      signal.addEventListener('abort', abort, { once: true });
      queue.enqueue(queued);
      this.dispatch(request.service);
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
    const among = changed && [changed];
    let ahead = 0;
    queue.inDispatchOrder(now).forEach((queued) => {
      const refusal = this.findStopRefusalOf(queued);
      if (refusal) {
        queue.remove(queued);
        queued.reject(refusal);
        return;
      }
      const placement = this.tryPlacement(queued, now, among);
      if (placement) {
        queue.remove(queued);
        queued.resolve(this.recordPlacement(queued, placement, now));
        return;
      }
      const end = this.findWaitEnd(queued, now, now, () => ahead);
      if (!end) {
        if (queued.stage !== RequestStage.begun) ahead += 1;
        return;
      }
      queue.remove(queued);
      queued.reject(this.createRefusal(queued, end, now, now, ahead));
    });
  }

  dispatchAll(): void {
    this.queues.forEach((_queue, service) => this.dispatch(service));
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

  private getGoalShare({ service, fairnessGroups }: PlacementRequest, now: number): number {
    const { base, min, max, perLead } = goalShare;
    const share = base - this.getShares(service).surplus(fairnessGroups, now) * perLead;
    return Math.min(max, Math.max(min, share));
  }

  /** Returns why a request that is sent at `startAt` can't be useful; undefined if it can. */
  private findWaitEnd(
    request: Candidate,
    now: number,
    startAt: number,
    countAhead: () => number,
  ): WaitEnd | undefined {
    const { stage, budgetDeniedAt = Infinity } = request;
    if (!begunStages.has(stage) && now - budgetDeniedAt > maxBudgetWaitMs)
      return WaitEnd.retryBudget;
    const facts = this.estimates.createFacts(request, now, startAt, countAhead);
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
      this.getShares(request.service).recordServed(request.fairnessGroups, now);
    const isInTime = now + expectedMs <= request.goalAt;
    this.policies.demand.recordPlacement(request, isInTime, now);
    if (!isInTime) this.estimates.getOutlook(request.service).recordLatePlacement(now);
    this.metrics.observe('request_wait', now - request.arrivedAt);
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
      unreadMs: Math.round(target.load.unreadMs(now)),
      configuration: request.configurationVersion,
      proofAgeMs: Math.round(request.configurationAgeMs),
    });
    countPlacement(target, request);
    return placement;
  }

  private createRefusal(
    request: Candidate,
    end: WaitEnd,
    now: number,
    startAt: number,
    ahead: number,
  ): Refusal {
    const { id, service, isRetryable } = request;
    this.metrics.count('waits_ended', { cause: end });
    this.policies.demand.recordRefusal(request, now);
    const remainingMs = Math.max(0, request.deadlineAt - now);
    const statements = this.directory.summarizeStatements(service, request.eligibility);
    const recovery = this.findRecovery(request, end, ahead, now);
    const retryAfterMs =
      recovery?.turnMs ?? this.drawRetryDelay(statements.pauseLeftMs, remainingMs);
    this.log.info('Request refused.', {
      id,
      service,
      waitedMs: Math.round(now - request.arrivedAt),
      isReturned: request.stage === RequestStage.callerRetry,
      isRepeatable: isRetryable,
      cause: end,
      expectedWaitMs: Math.round(startAt - now),
      toGoalMs: Math.round(request.startBy - now),
      leftMs: Math.round(remainingMs),
      tried: request.eligibility.tried.size,
      endpoints: this.directory.forService(service).length,
      usable:
        request.availableCount ?? this.directory.available(service, request.eligibility).length,
      limited: this.directory.countLimited(service),
      leaving: statements.leaving,
      paused: statements.paused,
      waiting: this.getQueue(service).length,
      ahead,
      recovering: recovery?.endpoints ?? 0,
      firstRecoveryMs: recovery ? Math.round(recovery.firstMs) : null,
      retryAfterMs: Math.round(retryAfterMs),
    });
    const message = 'No endpoint can answer in time.';
    return new Refusal(RefusalReason.overloaded, message, retryAfterMs, end);
  }

  /** Returns when a refused request would be sent if it waited for endpoints that do not serve now. */
  private findRecovery(
    request: Candidate,
    end: WaitEnd,
    ahead: number,
    now: number,
  ): { turnMs: number; firstMs: number; endpoints: number } | undefined {
    const outlook = this.estimates.getOutlook(request.service);
    const capacities = this.estimates.expectCapacities(request, now);
    if (!outlook.isOut(capacities, now) && end !== WaitEnd.noEndpoint) return undefined;
    const turnMs = outlook.turnAt(capacities, ahead, now) - now;
    if (turnMs === Infinity) return undefined;
    const firstMs = Math.min(...capacities.map(({ at }) => at)) - now;
    return { turnMs, firstMs, endpoints: capacities.length };
  }

  /** Returns a delay that spreads callers who come back, within what they accept. */
  private drawRetryDelay(pauseLeftMs: number, remainingMs: number): number {
    const maxDelayMs = remainingMs * maxRetryDelayShare;
    if (pauseLeftMs > 0) return pauseRetryDelayMs(pauseLeftMs, maxDelayMs, this.random);
    return Math.min(retryDelayMs.min + this.random.next() * retryDelayMs.spread, maxDelayMs);
  }

  private static createAbortRefusal(): Refusal {
    return new Refusal(RefusalReason.deadline, 'The request was aborted while it was queued.', 0);
  }

  private getShares(service: string): ServedRatios {
    let shares = this.shares.get(service);
    if (!shares) {
      shares = new ServedRatios();
      this.shares.set(service, shares);
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
