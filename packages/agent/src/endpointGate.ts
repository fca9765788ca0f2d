import { Aborted, Overloaded } from '@laburnumstream/common';
import type { Clock, LoadReport, Metrics } from '@laburnumstream/common';
import {
  AdmissionLimit,
  FairQueue,
  LatencyJumpDetector,
  WorkRate,
} from '@laburnumstream/decisions';
import type { Policy, Priority, QueueItem } from '@laburnumstream/decisions';

/** Why a waiting request stopped waiting. */
type Outcome = 'turn' | 'evicted' | 'late' | 'aborted';

/** A request that waits for room at the endpoint. */
interface WaitingRequest extends QueueItem {
  settle(outcome: Outcome): void;
  permit: Permit | undefined;
}

/** Admitted work at the endpoint. */
export interface Permit {
  /** Priority towards the engine. */
  readonly priority: Priority;
  /**
   * Ends the work; `succeeded` tells whether the endpoint answered, `realUnits` what it took where
   * that is known. Later calls do nothing.
   */
  release(succeeded: boolean, realUnits?: number): void;
}

/** Bounds of the retry-after of a refusal, in milliseconds. */
const leastRetryAfterMs = 100;
const mostRetryAfterMs = 5_000;

/** Share of the longest wait above which an expected wait leads to a refusal at once. */
const hopelessShare = 0.5;

/** Holds the work at one endpoint within its limit and serves workspaces fairly. */
export class EndpointGate {
  private readonly admission: AdmissionLimit;

  private readonly queue: FairQueue<WaitingRequest>;

  private readonly latency = new LatencyJumpDetector();

  private readonly rate = new WorkRate();

  private boot = '';

  private weights = '';

  constructor(
    private policy: Policy,
    weightOf: (workspace: string) => number,
    private readonly clock: Clock,
    private readonly metrics: Metrics,
  ) {
    this.admission = new AdmissionLimit(policy);
    this.queue = new FairQueue(weightOf);
  }

  get limit(): number {
    return this.admission.limit;
  }

  get inFlight(): number {
    return this.admission.inFlight;
  }

  get queued(): number {
    return this.queue.length;
  }

  rebind(policy: Policy): void {
    this.policy = policy;
    this.admission.setBounds(policy);
    this.startWaiters();
  }

  /** The endpoint shows a sign of a restart or of lost caches. */
  turnCold(sign: string): void {
    this.admission.turnCold(this.clock.now());
    this.rate.reset();
    this.metrics.count('endpoint_turned_cold');
    this.metrics.count(`endpoint_turned_cold_${sign}`);
  }

  /** Takes a lagging report of the endpoint. */
  report({ boot, weights, capacity }: LoadReport): void {
    if (this.boot && boot !== this.boot) this.turnCold('boot');
    else if (this.weights && weights !== this.weights) this.turnCold('weights');
    this.boot = boot;
    this.weights = weights;
    this.admission.applyReport(capacity, this.clock.now());
    this.startWaiters();
  }

  /** The endpoint sent a part of an answer. */
  progress(epoch: number): void {
    this.admission.recordProgress(epoch, this.clock.now());
    if (this.queue.length > 0) this.startWaiters();
  }

  /** The present epoch, to be given back with signs of life of work that starts now. */
  get epoch(): number {
    return this.admission.epoch;
  }

  /** Takes the time to a first token. */
  firstToken(ms: number): void {
    if (this.latency.observe(ms)) this.turnCold('latency');
  }

  /** Waits for room; throws `Overloaded`, at once where the wait would be too long. */
  async acquire(workspace: string, units: number, signal: AbortSignal): Promise<Permit> {
    let settle: (outcome: Outcome) => void = () => undefined;
    const settled = new Promise<Outcome>((resolve) => {
      settle = resolve;
    });
    const request: WaitingRequest = { workspace, units, settle, permit: undefined };
    this.queue.enqueue(request);
    this.startWaiters();
    if (!request.permit) {
      this.limitQueue(request);
      await this.wait(request, settled, signal);
    }
    return request.permit!;
  }

  /** Sheds from the heaviest workspace when the queue is full or the wait would be too long. */
  private limitQueue(newcomer: WaitingRequest): void {
    const { maxQueue, maxQueueMs } = this.policy;
    const isHopeless = this.expectedWaitMs(newcomer.workspace) > maxQueueMs * hopelessShare;
    if (isHopeless && this.queue.remove(newcomer)) {
      throw this.overloaded(newcomer, 'The wait in the queue would be too long.');
    }
    if (this.queue.length <= maxQueue) return;
    const shed = this.queue.evict(newcomer);
    if (shed === newcomer) throw this.overloaded(newcomer, 'The queue is full.');
    shed.settle('evicted');
  }

  private async wait(
    request: WaitingRequest,
    settled: Promise<Outcome>,
    signal: AbortSignal,
  ): Promise<void> {
    const waited = new AbortController();
    const limit = AbortSignal.any([signal, waited.signal]);
    const late = this.clock.sleep(this.policy.maxQueueMs, limit).then(
      () => 'late' as const,
      () => 'aborted' as const,
    );
    const outcome = await Promise.race([settled, late]);
    waited.abort();
    // The turn may have come in the same moment.
    if (outcome === 'turn' || request.permit) return;
    this.queue.remove(request);
    this.startWaiters();
    if (outcome === 'aborted') throw new Aborted();
    throw this.overloaded(request, 'The wait in the queue was too long.');
  }

  private startWaiters(): void {
    const now = this.clock.now();
    const fits = (units: number): boolean => this.admission.fits(units, now);
    for (;;) {
      const { limit, inFlight } = this.admission;
      const request = this.queue.dequeue({ limit, inFlight, fits });
      if (!request) return;
      request.permit = this.start(request);
      request.settle('turn');
    }
  }

  private start({ workspace, units }: WaitingRequest): Permit {
    const priority = this.queue.start(workspace, units, this.admission.limit);
    const work = this.admission.start(units, this.clock.now());
    let released = false;
    const release = (succeeded: boolean, realUnits = units): void => {
      if (released) return;
      released = true;
      const now = this.clock.now();
      this.admission.finish(work, succeeded, now);
      this.queue.finish(workspace, units, realUnits);
      if (succeeded) this.rate.recordFinished(units, now);
      this.startWaiters();
    };
    return { priority, release };
  }

  /** Time until a workspace's last waiter starts at its share of the present rate; 0 if unknown. */
  private expectedWaitMs(workspace: string): number {
    const { perMs } = this.rate;
    if (perMs === 0) return 0;
    return this.queue.queuedUnits(workspace) / (perMs * this.queue.share(workspace));
  }

  private overloaded({ workspace }: QueueItem, message: string): Overloaded {
    this.metrics.count('admission_refused');
    const waitMs = Math.round(this.expectedWaitMs(workspace));
    return new Overloaded(message, Math.min(mostRetryAfterMs, Math.max(leastRetryAfterMs, waitMs)));
  }
}
