import type { Clock, Log, Metrics, Random } from '@laburnumstream/common';
import { RequestStage, ReturnSchedule, pauseRetryDelayMs } from '@laburnumstream/decisions';
import { Refusal, RefusalReason } from '../callers/refusal.js';
import { WaitEnd } from '../callers/waitEnd.js';
import type { EndpointSource } from '../endpoints/endpointSource.js';
import type { Candidate } from './candidate.js';
import type { WaitEstimates } from './waitEstimates.js';

/** The wait of a request that has ended with its refusal. */
export interface EndedWait {
  readonly end: WaitEnd;
  /** Time until its turn as far as it was expected, in milliseconds. */
  readonly expectedMs: number;
  /** Requests of its service that wait before it, and all that wait. */
  readonly ahead: number;
  readonly waiting: number;
}

/** When endpoints that do not serve now would serve a request. */
interface Recovery {
  readonly turnMs: number;
  readonly firstMs: number;
  readonly endpoints: number;
}

/** Delay after which refused callers are asked to retry, in milliseconds; `spread` adds jitter. */
const retryDelayMs = { min: 900, spread: 700 } as const;
/** Upper limit of that delay, as a share of the caller's remaining time. */
const maxRetryDelayShare = 1 / 3;
/**
 * Lower bound of the rate at which callers are asked to return, as a part of the rate of all placements: without any
 * return, new room would not be noticed.
 */
const minReturnShare = 0.1;

/** Creates the refusals of requests that no endpoint can serve in time. */
export class Refusals {
  private readonly returns = new Map<string, ReturnSchedule>();

  constructor(
    private readonly directory: EndpointSource,
    private readonly estimates: WaitEstimates,
    private readonly isAdaptive: (service: string) => boolean,
    private readonly clock: Pick<Clock, 'now'>,
    private readonly random: Random,
    private readonly metrics: Metrics,
    private readonly log: Log,
  ) {}

  /** Creates and logs the refusal of a request. */
  create(request: Candidate, { end, expectedMs, ahead, waiting }: EndedWait): Refusal {
    const now = this.clock.now();
    const { id, service, isRetryable } = request;
    this.metrics.count('waits_ended', { cause: end });
    const remainingMs = Math.max(0, request.deadlineAt - now);
    const statements = this.directory.summarizeStatements(service, request.eligibility);
    const recovery = this.findRecovery(request, end, ahead, now);
    const { pauseLeftMs } = statements;
    // A return that is not told to the caller must not be reserved.
    const isPlanned = !recovery && pauseLeftMs === 0;
    const planned = isPlanned ? this.planReturn(request, waiting, now) : undefined;
    const retryAfterMs =
      recovery?.turnMs ?? planned ?? this.drawRetryDelay(pauseLeftMs, remainingMs);
    this.log.info('Request refused.', {
      id,
      service,
      waitedMs: Math.round(now - request.arrivedAt),
      isReturned: request.stage === RequestStage.callerRetry,
      isRepeatable: isRetryable,
      cause: end,
      expectedWaitMs: Math.round(expectedMs),
      toGoalMs: Math.round(request.startBy - now),
      leftMs: Math.round(remainingMs),
      tried: request.eligibility.tried.size,
      endpoints: this.directory.forService(service).length,
      usable:
        request.availableCount ?? this.directory.available(service, request.eligibility).length,
      limited: this.directory.countLimited(service),
      leaving: statements.leaving,
      paused: statements.paused,
      waiting,
      ahead,
      recovering: recovery?.endpoints ?? 0,
      firstRecoveryMs: recovery ? Math.round(recovery.firstMs) : null,
      retryAfterMs: Math.round(retryAfterMs),
    });
    const message = 'No endpoint can answer in time.';
    return new Refusal(RefusalReason.overloaded, message, retryAfterMs, end);
  }

  /** Returns when a refused request would be sent if it waited; undefined while endpoints serve. */
  private findRecovery(
    request: Candidate,
    end: WaitEnd | undefined,
    ahead: number,
    now: number,
  ): Recovery | undefined {
    const { isOut, capacities, schedule } = this.estimates.getEstimate(request, now);
    if (!isOut && end !== WaitEnd.noEndpoint) return undefined;
    const turnMs = schedule.turnAt(ahead) - now;
    if (turnMs === Infinity) return undefined;
    const firstMs = Math.min(...capacities.map(({ at }) => at)) - now;
    return { turnMs: Math.max(0, turnMs), firstMs, endpoints: capacities.length };
  }

  /**
   * Returns the delay after which the caller of a request that endpoints have refused is asked to retry; `usualMs` where
   * nothing better is known.
   */
  findRetryDelay(request: Candidate, ahead: number, waiting: number, usualMs: number): number {
    const now = this.clock.now();
    const recovery = this.findRecovery(request, undefined, ahead, now);
    return recovery?.turnMs ?? this.planReturn(request, waiting, now) ?? usualMs;
  }

  /** Returns when room is expected for a caller that comes back; undefined where admission is not adaptive. */
  private planReturn(request: Candidate, waiting: number, now: number): number | undefined {
    const { service, stage, deadlineAt } = request;
    if (!this.isAdaptive(service)) return undefined;
    const remainingMs = Math.max(0, deadlineAt - now);
    const outlook = this.estimates.getOutlook(service);
    // An entry that has just started has placed nothing yet, so the rates of the profiles apply.
    const { capacities } = this.estimates.getEstimate(request, now);
    const placedPerMs =
      outlook.placedPerMs(now) || capacities.reduce((sum, { perMs }) => sum + perMs, 0);
    const latePerMs = Math.max(outlook.latePerMs(now), placedPerMs * minReturnShare);
    const backlogMs = placedPerMs > 0 ? waiting / placedPerMs : remainingMs;
    const mayReturn = stage !== RequestStage.callerRetry;
    let schedule = this.returns.get(service);
    if (!schedule) {
      schedule = new ReturnSchedule();
      this.returns.set(service, schedule);
    }
    return schedule.plan({ now, backlogMs, latePerMs, remainingMs, mayReturn });
  }

  /** Returns a delay that spreads callers who come back, within what they accept. */
  private drawRetryDelay(pauseLeftMs: number, remainingMs: number): number {
    const maxDelayMs = remainingMs * maxRetryDelayShare;
    if (pauseLeftMs > 0) return pauseRetryDelayMs(pauseLeftMs, maxDelayMs, this.random);
    return Math.min(retryDelayMs.min + this.random.next() * retryDelayMs.spread, maxDelayMs);
  }
}
