import type { Clock, Log, Metrics, Random } from '@laburnumstream/common';
import { ServedRatios, WaitQueue, bestPlacement } from '@laburnumstream/decisions';
import type { Demand, Placement, QueuedRequest } from '@laburnumstream/decisions';
import type { Eligibility } from './endpointDirectory.js';
import type { EndpointHandle } from './endpointHandle.js';
import { Refusal, RefusalReason } from './refusal.js';

/** A request that needs an endpoint. */
export interface PlacedRequest extends QueuedRequest {
  readonly id: string;
  readonly service: string;
  readonly demand: Demand;
  /** Groups of requests that are to be served equally often: its route and its size. */
  readonly groups: readonly string[];
  readonly eligibility: Eligibility;
  /** Whether it may run more than once. */
  readonly isRepeatable: boolean;
  /** Monotonic time until which its first event is of full use, in milliseconds. */
  readonly goalAt: number;
  /** Monotonic time of its final answer, in milliseconds. */
  readonly deadlineAt: number;
}

/** The endpoints among which requests are placed. */
export interface EndpointChoice {
  /** Endpoints of a service. */
  of(service: string): readonly EndpointHandle[];
  /** Those that may get a request now, of all or of some. */
  usable(
    service: string,
    eligibility: Eligibility,
    among?: readonly EndpointHandle[],
  ): EndpointHandle[];
  /** Whether any could serve a request, if it had room. */
  canServe(service: string, eligibility: Eligibility): boolean;
}

/** A request for which endpoints are looked at. */
interface Candidate extends PlacedRequest {
  /** Endpoints that could have taken it at the last look at all of them; undefined before that. */
  usable: number | undefined;
}

interface Pending extends Candidate {
  readonly resolve: (placement: Placement<EndpointHandle>) => void;
  readonly reject: (error: unknown) => void;
}

/** Time between looks at waiting requests when nothing happens, in milliseconds. */
const lookMs = 20;
/** Time for the answer's way back, in milliseconds. */
const wayBackMs = 10;
/** Longest wait of a request whose caller was refused before, in milliseconds. */
const returnedWaitMs = 300;
/**
 * Part of an endpoint's slots that requests past their goal leave free: under load each slot that they
 * take is one that a request within its goal would have had.
 */
const reservedShare = 0.2;
/**
 * Part of the time to the goal that the estimate may fill: less for requests whose like are served more
 * often than others, so that short goals and large prompts are not crowded out.
 */
const estimateShare = { usual: 0.75, least: 0.35, most: 1, perLead: 3 } as const;
/** Time after which callers are told to come back, in milliseconds. */
const returnMs = { least: 900, spread: 700 } as const;
/** Part of a caller's time left that it waits at most before it comes back. */
const longestReturnShare = 1 / 3;

/** Lets requests wait for endpoints that can answer them in time, and refuses the others. */
export class DispatchLine {
  private readonly lines = new Map<string, WaitQueue<Pending>>();

  private readonly shares = new Map<string, ServedRatios>();

  private isScheduled = false;

  constructor(
    private readonly directory: EndpointChoice,
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly metrics: Metrics,
    private readonly log: Log,
  ) {}

  /** Resolves with an endpoint; throws a `Refusal` when the request can't be served. */
  place(request: PlacedRequest, signal: AbortSignal): Promise<Placement<EndpointHandle>> {
    const now = this.clock.now();
    const line = this.lineOf(request.service);
    if (!request.isCallerRetry) this.sharesOf(request.service).recordArrival(request.groups, now);
    const candidate: Candidate = { ...request, usable: undefined };
    const placement = line.length === 0 ? this.find(candidate, now) : undefined;
    if (placement) return Promise.resolve(this.took(request, placement, now));
    const startAt = now + line.expectedWaitMs(now);
    if (!this.mayWait(request, startAt)) return Promise.reject(this.refusal(candidate, now));
    return new Promise((resolve, reject) => {
      const pending: Pending = { ...candidate, resolve, reject };
      const leave = (): void => {
        if (line.remove(pending)) reject(DispatchLine.endedInLine());
      };
      signal.addEventListener('abort', leave, { once: true });
      line.enqueue(pending);
      this.look(request.service);
      this.schedule();
    });
  }

  /**
   * Looks at the waiting requests of a service after room may have come, at one endpoint or anywhere.
   * Requests that wait had no room elsewhere, so only the endpoint that changed is asked.
   */
  look(service: string, changed?: EndpointHandle): void {
    const line = this.lines.get(service);
    if (!line || line.length === 0) return;
    const now = this.clock.now();
    const among = changed && [changed];
    line.inDispatchOrder(now).forEach((pending) => {
      const placement = this.find(pending, now, among);
      if (placement) {
        line.remove(pending);
        pending.resolve(this.took(pending, placement, now));
      } else if (!this.mayWait(pending, now)) {
        line.remove(pending);
        pending.reject(this.refusal(pending, now));
      }
    });
  }

  lookAtAll(): void {
    this.lines.forEach((_line, service) => this.look(service));
  }

  /** Number of requests that wait, by service. */
  get waiting(): ReadonlyMap<string, number> {
    return new Map([...this.lines].map(([service, { length }]) => [service, length]));
  }

  private schedule(): void {
    if (this.isScheduled) return;
    this.isScheduled = true;
    void this.clock.sleep(lookMs).then(() => {
      this.isScheduled = false;
      this.lookAtAll();
      if ([...this.lines.values()].some(({ length }) => length > 0)) this.schedule();
    });
  }

  private find(
    request: Candidate,
    now: number,
    among?: readonly EndpointHandle[],
  ): Placement<EndpointHandle> | undefined {
    const { service, eligibility, demand } = request;
    const targets = this.directory.usable(service, eligibility, among);
    if (!among) Object.assign(request, { usable: targets.length });
    const best = bestPlacement(targets, demand, now, this.random);
    if (!best) return undefined;
    const left = (request.goalAt - now - wayBackMs) * this.estimateShareOf(request, now);
    if (!request.isCallerRetry && best.expectedMs <= left) return best;
    const { load, slots } = best.target;
    const isLate = request.isCallerRetry || now > request.startBy;
    const open = slots - Math.ceil(slots * reservedShare);
    return isLate && load.outstanding(now) < open ? best : undefined;
  }

  private estimateShareOf({ service, groups }: PlacedRequest, now: number): number {
    const { usual, least, most, perLead } = estimateShare;
    const share = usual - this.sharesOf(service).surplus(groups, now) * perLead;
    return Math.min(most, Math.max(least, share));
  }

  /** Whether a request that is sent at `startAt` is still of use. */
  private mayWait(request: PlacedRequest, startAt: number): boolean {
    if (!this.directory.canServe(request.service, request.eligibility)) return false;
    if (request.isCallerRetry) return startAt - request.arrivedAt < returnedWaitMs;
    return startAt <= request.startBy;
  }

  private took(
    request: PlacedRequest,
    placement: Placement<EndpointHandle>,
    now: number,
  ): Placement<EndpointHandle> {
    const { target, expectedMs } = placement;
    this.lineOf(request.service).recordServed(request.workspace, now);
    if (!request.isCallerRetry) this.sharesOf(request.service).recordServed(request.groups, now);
    this.metrics.observe('request_wait', now - request.arrivedAt);
    this.log.info('Request placed.', {
      id: request.id,
      service: request.service,
      endpoint: target.id,
      expectedMs: Math.round(expectedMs),
      occupied: target.load.outstanding(now),
      reportAgeMs: Math.round(target.load.reportAgeMs(now)),
      waitedMs: Math.round(now - request.arrivedAt),
      isReturned: request.isCallerRetry,
      leftMs: Math.round(request.goalAt - now),
      unreadMs: Math.round(target.load.unreadMs(now)),
    });
    return placement;
  }

  private refusal(request: Candidate, now: number): Refusal {
    const { id, service, isRepeatable } = request;
    const left = Math.max(0, request.deadlineAt - now);
    const wished = returnMs.least + this.random.next() * returnMs.spread;
    const retryAfterMs = Math.min(wished, left * longestReturnShare);
    this.log.info('Request refused.', {
      id,
      service,
      waitedMs: Math.round(now - request.arrivedAt),
      isReturned: request.isCallerRetry,
      isRepeatable,
      endpoints: this.directory.of(service).length,
      usable: request.usable ?? this.directory.usable(service, request.eligibility).length,
      waiting: this.lineOf(service).length,
      retryAfterMs: Math.round(retryAfterMs),
    });
    const message = 'No endpoint can answer in time.';
    return new Refusal(RefusalReason.overloaded, message, retryAfterMs);
  }

  private static endedInLine(): Refusal {
    return new Refusal(RefusalReason.deadline, 'The request ended while it waited.', 0);
  }

  private sharesOf(service: string): ServedRatios {
    let shares = this.shares.get(service);
    if (!shares) {
      shares = new ServedRatios();
      this.shares.set(service, shares);
    }
    return shares;
  }

  private lineOf(service: string): WaitQueue<Pending> {
    let line = this.lines.get(service);
    if (!line) {
      line = new WaitQueue();
      this.lines.set(service, line);
    }
    return line;
  }
}
