import { Aborted, Overloaded } from '@laburnumstream/common';
import type { Clock, LoadReport, Metrics } from '@laburnumstream/common';
import {
  AdmissionLimit,
  FairQueue,
  LatencyJumpDetector,
  WorkRate,
} from '@laburnumstream/decisions';
import type { Policy, Priority, QueueItem } from '@laburnumstream/decisions';

/** Why a queued request stopped waiting. */
type WaitOutcome = 'admitted' | 'evicted' | 'timedOut' | 'aborted';

/** A request queued for capacity at the endpoint. */
interface QueuedRequest extends QueueItem {
  settle(outcome: WaitOutcome): void;
  permit: Permit | undefined;
}

/** Admitted work at the endpoint. */
export interface Permit {
  /** Scheduling priority at the engine. */
  readonly priority: Priority;
  /**
   * Ends the work. `succeeded` says whether the endpoint responded, `realUnits` the actual work
   * units where known. Repeated calls have no effect.
   */
  release(succeeded: boolean, realUnits?: number): void;
}

/** Bounds of the retry-after of refusals, in milliseconds. */
const minRetryAfterMs = 100;
const maxRetryAfterMs = 5_000;

/** Share of the maximum queue time; a request whose expected wait is longer is refused at once. */
const earlyRefusalShare = 0.5;

/** Admission control for one endpoint: limits the admitted work and queues workspaces fairly. */
export class EndpointGate {
  private readonly admission: AdmissionLimit;

  private readonly queue: FairQueue<QueuedRequest>;

  private readonly latencyJump = new LatencyJumpDetector();

  private readonly workRate = new WorkRate();

  private boot = '';

  private weights = '';

  constructor(
    private policy: Policy,
    getWeight: (workspace: string) => number,
    private readonly clock: Clock,
    private readonly metrics: Metrics,
  ) {
    this.admission = new AdmissionLimit(policy);
    this.queue = new FairQueue(getWeight);
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

  updatePolicy(policy: Policy): void {
    this.policy = policy;
    this.admission.setBounds(policy);
    this.admitQueued();
  }

  /** Lowers the limit to the cold limit after a sign of a restart or of lost caches. */
  markCold(cause: string): void {
    this.admission.turnCold(this.clock.now());
    this.workRate.reset();
    this.metrics.count('endpoint_turned_cold');
    this.metrics.count(`endpoint_turned_cold_${cause}`);
  }

  /** Applies a load report of the endpoint, which may lag behind its state. */
  applyReport({ boot, weights, capacity }: LoadReport): void {
    if (this.boot && boot !== this.boot) this.markCold('boot');
    else if (this.weights && weights !== this.weights) this.markCold('weights');
    this.boot = boot;
    this.weights = weights;
    this.admission.applyReport(capacity, this.clock.now());
    this.admitQueued();
  }

  /** Records that the endpoint sent a part of a response. */
  recordProgress(epoch: number): void {
    this.admission.recordProgress(epoch, this.clock.now());
    if (this.queue.length > 0) this.admitQueued();
  }

  /** The current epoch; work that starts now passes it to `recordProgress`. */
  get epoch(): number {
    return this.admission.epoch;
  }

  /** Records the latency of a first token. */
  recordFirstToken(ms: number): void {
    if (this.latencyJump.observe(ms)) this.markCold('latency');
  }

  /** Waits for admission; throws `Overloaded`, at once when the expected wait is too long. */
  async acquire(workspace: string, units: number, signal: AbortSignal): Promise<Permit> {
    let settle: (outcome: WaitOutcome) => void = () => undefined;
    const settled = new Promise<WaitOutcome>((resolve) => {
      settle = resolve;
    });
    const request: QueuedRequest = { workspace, units, settle, permit: undefined };
    this.queue.enqueue(request);
    this.admitQueued();
    if (!request.permit) {
      this.shedExcess(request);
      await this.waitForPermit(request, settled, signal);
    }
    return request.permit!;
  }

  /**
   * Refuses `newcomer` if its wait would be too long; a full queue sheds from the heaviest
   * workspace.
   */
  private shedExcess(newcomer: QueuedRequest): void {
    const { maxQueue, maxQueueMs } = this.policy;
    const isWaitTooLong = this.expectedWaitMs(newcomer) > maxQueueMs * earlyRefusalShare;
    if (isWaitTooLong && this.queue.remove(newcomer)) {
      throw this.makeOverloaded(newcomer, 'The wait in the queue would be too long.');
    }
    if (this.queue.length <= maxQueue) return;
    const shed = this.queue.evict(newcomer);
    if (shed === newcomer) throw this.makeOverloaded(newcomer, 'The queue is full.');
    shed.settle('evicted');
  }

  private async waitForPermit(
    request: QueuedRequest,
    settled: Promise<WaitOutcome>,
    signal: AbortSignal,
  ): Promise<void> {
    const finished = new AbortController();
    const timeoutSignal = AbortSignal.any([signal, finished.signal]);
    const timedOut = this.clock.sleep(this.policy.maxQueueMs, timeoutSignal).then(
      () => 'timedOut' as const,
      () => 'aborted' as const,
    );
    const outcome = await Promise.race([settled, timedOut]);
    finished.abort();
    // The permit may have been granted at the same moment.
    if (outcome === 'admitted' || request.permit) return;
    this.queue.remove(request);
    this.admitQueued();
    if (outcome === 'aborted') throw new Aborted();
    throw this.makeOverloaded(request, 'The wait in the queue was too long.');
  }

  private admitQueued(): void {
    const now = this.clock.now();
    const fits = (units: number): boolean => this.admission.fits(units, now);
    for (;;) {
      const { limit, inFlight } = this.admission;
      const request = this.queue.dequeue({ limit, inFlight, fits });
      if (!request) return;
      request.permit = this.grantPermit(request);
      request.settle('admitted');
    }
  }

  private grantPermit({ workspace, units }: QueuedRequest): Permit {
    const priority = this.queue.start(workspace, units, this.admission.limit);
    const work = this.admission.start(units, this.clock.now());
    let released = false;
    const release = (succeeded: boolean, realUnits = units): void => {
      if (released) return;
      released = true;
      const now = this.clock.now();
      this.admission.finish(work, succeeded, now);
      this.queue.finish(workspace, units, realUnits);
      if (succeeded) this.workRate.recordFinished(units, now);
      this.admitQueued();
    };
    return { priority, release };
  }

  /** Expected time until the newest request of its workspace starts; 0 if unknown. */
  private expectedWaitMs(newcomer: QueuedRequest): number {
    const { perMs } = this.workRate;
    return perMs === 0 ? 0 : this.queue.unitsBefore(newcomer) / perMs;
  }

  /** Expected time until the queued requests of a workspace have run at its share; 0 if unknown. */
  private expectedDrainMs(workspace: string): number {
    const { perMs } = this.workRate;
    if (perMs === 0) return 0;
    return this.queue.queuedUnits(workspace) / (perMs * this.queue.share(workspace));
  }

  private makeOverloaded({ workspace }: QueueItem, message: string): Overloaded {
    this.metrics.count('admission_refused');
    const waitMs = Math.round(this.expectedDrainMs(workspace));
    return new Overloaded(message, Math.min(maxRetryAfterMs, Math.max(minRetryAfterMs, waitMs)));
  }
}
