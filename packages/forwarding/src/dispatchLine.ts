import type { Clock, Log, Metrics, Random } from '@laburnumstream/common';
import { ServedShares, WaitingLine, bestPlacement } from '@laburnumstream/decisions';
import type { Demand, Placement, WaitingRequest } from '@laburnumstream/decisions';
import type { Eligibility } from './endpointDirectory.js';
import type { EndpointHandle } from './endpointHandle.js';
import { Refusal, RefusalReason } from './refusal.js';

/** A request that needs an endpoint. */
export interface PlacementRequest extends WaitingRequest {
  readonly id: string;
  readonly service: string;
  readonly demand: Demand;
  /** Groups of requests that are to be served equally often: its route and its size. */
  readonly fairnessGroups: readonly string[];
  readonly eligibility: Eligibility;
  /** Whether it may run more than once. */
  readonly isRetryable: boolean;
  /** Monotonic time until which its first event is of full use, in milliseconds. */
  readonly goalAt: number;
  /** Monotonic time of its final answer, in milliseconds. */
  readonly deadlineAt: number;
}

/** The endpoints among which requests are placed. */
export interface EndpointSource {
  /** Endpoints of a service. */
  forService(service: string): readonly EndpointHandle[];
  /** Those that may get a request now, of all or of some. */
  available(
    service: string,
    eligibility: Eligibility,
    among?: readonly EndpointHandle[],
  ): EndpointHandle[];
  /** Whether any could serve a request, if it had room. */
  canServe(service: string, eligibility: Eligibility): boolean;
}

/** A request for which endpoints are looked at. */
interface Candidate extends PlacementRequest {
  /** Endpoints that could have taken it at the last look at all of them; undefined before that. */
  availableCount: number | undefined;
}

interface Pending extends Candidate {
  readonly resolve: (placement: Placement<EndpointHandle>) => void;
  readonly reject: (error: unknown) => void;
}

/** Time between looks at waiting requests when nothing happens, in milliseconds. */
const recheckIntervalMs = 20;
/** Time for the answer's way back, in milliseconds. */
const responseTransitMs = 10;
/** Longest wait of a request whose caller was refused before, in milliseconds. */
const maxCallerRetryWaitMs = 300;
/**
 * Part of an endpoint's slots that requests past their goal leave free: under load each slot that they
 * take is one that a request within its goal would have had.
 */
const reservedSlotShare = 0.2;
/**
 * Part of the time to the goal that the estimate may fill: less for requests whose like are served more
 * often than others, so that short goals and large prompts are not crowded out.
 */
const goalShare = { base: 0.75, min: 0.35, max: 1, perLead: 3 } as const;
/** Time after which callers are told to come back, in milliseconds. */
const retryDelayMs = { min: 900, spread: 700 } as const;
/** Part of a caller's time left that it waits at most before it comes back. */
const maxRetryDelayShare = 1 / 3;

/** Lets requests wait for endpoints that can answer them in time, and refuses the others. */
export class DispatchQueue {
  private readonly queues = new Map<string, WaitingLine<Pending>>();

  private readonly shares = new Map<string, ServedShares>();

  private isRecheckScheduled = false;

  constructor(
    private readonly directory: EndpointSource,
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly metrics: Metrics,
    private readonly log: Log,
  ) {}

  /** Resolves with an endpoint; throws a `Refusal` when the request can't be served. */
  place(request: PlacementRequest, signal: AbortSignal): Promise<Placement<EndpointHandle>> {
    const now = this.clock.now();
    const line = this.getQueue(request.service);
    if (!request.isReturned)
      this.getShares(request.service).countAsked(request.fairnessGroups, now);
    const candidate: Candidate = { ...request, availableCount: undefined };
    const placement = line.length === 0 ? this.findPlacement(candidate, now) : undefined;
    if (placement) return Promise.resolve(this.recordPlacement(request, placement, now));
    const startAt = now + line.expectedWaitMs(now);
    if (!this.mayWait(request, startAt)) return Promise.reject(this.createRefusal(candidate, now));
    return new Promise((resolve, reject) => {
      const pending: Pending = { ...candidate, resolve, reject };
      const leave = (): void => {
        if (line.remove(pending)) reject(DispatchQueue.createAbortRefusal());
      };
      signal.addEventListener('abort', leave, { once: true });
      line.add(pending);
      this.dispatch(request.service);
      this.scheduleRecheck();
    });
  }

  /**
   * Looks at the waiting requests of a service after room may have come, at one endpoint or anywhere.
   * Requests that wait had no room elsewhere, so only the endpoint that changed is asked.
   */
  dispatch(service: string, changed?: EndpointHandle): void {
    const line = this.queues.get(service);
    if (!line || line.length === 0) return;
    const now = this.clock.now();
    const among = changed && [changed];
    line.ordered(now).forEach((pending) => {
      const placement = this.findPlacement(pending, now, among);
      if (placement) {
        line.remove(pending);
        pending.resolve(this.recordPlacement(pending, placement, now));
      } else if (!this.mayWait(pending, now)) {
        line.remove(pending);
        pending.reject(this.createRefusal(pending, now));
      }
    });
  }

  dispatchAll(): void {
    this.queues.forEach((_line, service) => this.dispatch(service));
  }

  /** Number of requests that wait, by service. */
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

  private findPlacement(
    request: Candidate,
    now: number,
    among?: readonly EndpointHandle[],
  ): Placement<EndpointHandle> | undefined {
    const { service, eligibility, demand } = request;
    const targets = this.directory.available(service, eligibility, among);
    if (!among) Object.assign(request, { usable: targets.length });
    const best = bestPlacement(targets, demand, now, this.random);
    if (!best) return undefined;
    const left = (request.goalAt - now - responseTransitMs) * this.getGoalShare(request, now);
    if (!request.isReturned && best.expectedMs <= left) return best;
    const { load, slots } = best.target;
    const isLate = request.isReturned || now > request.startBy;
    const open = slots - Math.ceil(slots * reservedSlotShare);
    return isLate && load.occupied(now) < open ? best : undefined;
  }

  private getGoalShare({ service, fairnessGroups: groups }: PlacementRequest, now: number): number {
    const { base: usual, min: least, max: most, perLead } = goalShare;
    const share = usual - this.getShares(service).lead(groups, now) * perLead;
    return Math.min(most, Math.max(least, share));
  }

  /** Whether a request that is sent at `startAt` is still of use. */
  private mayWait(request: PlacementRequest, startAt: number): boolean {
    if (!this.directory.canServe(request.service, request.eligibility)) return false;
    if (request.isReturned) return startAt - request.arrivedAt < maxCallerRetryWaitMs;
    return startAt <= request.startBy;
  }

  private recordPlacement(
    request: PlacementRequest,
    placement: Placement<EndpointHandle>,
    now: number,
  ): Placement<EndpointHandle> {
    const { target, expectedMs } = placement;
    this.getQueue(request.service).countServed(request.workspace, now);
    if (!request.isReturned)
      this.getShares(request.service).countServed(request.fairnessGroups, now);
    this.metrics.observe('request_wait', now - request.arrivedAt);
    this.log.info('Request placed.', {
      id: request.id,
      service: request.service,
      endpoint: target.id,
      expectedMs: Math.round(expectedMs),
      occupied: target.load.occupied(now),
      reportAgeMs: Math.round(target.load.reportAgeMs(now)),
      waitedMs: Math.round(now - request.arrivedAt),
      isReturned: request.isReturned,
      leftMs: Math.round(request.goalAt - now),
      unreadMs: Math.round(target.load.unreadMs(now)),
    });
    return placement;
  }

  private createRefusal(request: Candidate, now: number): Refusal {
    const { id, service, isRetryable: isRepeatable } = request;
    const left = Math.max(0, request.deadlineAt - now);
    const wished = retryDelayMs.min + this.random.next() * retryDelayMs.spread;
    const retryAfterMs = Math.min(wished, left * maxRetryDelayShare);
    this.log.info('Request refused.', {
      id,
      service,
      waitedMs: Math.round(now - request.arrivedAt),
      isReturned: request.isReturned,
      isRepeatable,
      endpoints: this.directory.forService(service).length,
      usable:
        request.availableCount ?? this.directory.available(service, request.eligibility).length,
      waiting: this.getQueue(service).length,
      retryAfterMs: Math.round(retryAfterMs),
    });
    const message = 'No endpoint can answer in time.';
    return new Refusal(RefusalReason.overloaded, message, retryAfterMs);
  }

  private static createAbortRefusal(): Refusal {
    return new Refusal(RefusalReason.deadline, 'The request ended while it waited.', 0);
  }

  private getShares(service: string): ServedShares {
    let shares = this.shares.get(service);
    if (!shares) {
      shares = new ServedShares();
      this.shares.set(service, shares);
    }
    return shares;
  }

  private getQueue(service: string): WaitingLine<Pending> {
    let line = this.queues.get(service);
    if (!line) {
      line = new WaitingLine();
      this.queues.set(service, line);
    }
    return line;
  }
}
