import { FairQueue } from '@laburnumstream/decisions';
import type { QueueItem } from '@laburnumstream/decisions';

/** A simulated request of a workspace. */
export interface SimulatedRequest extends QueueItem {
  readonly arrivedAt: number;
  readonly durationMs: number;
}

interface RunningRequest {
  readonly request: SimulatedRequest;
  readonly endsAt: number;
}

const tickMs = 1;

/** Simulates an endpoint with a fixed concurrency limit behind a fair queue, in virtual time. */
export class FairnessSimulation {
  /** Queueing times by workspace, in milliseconds. */
  readonly waits = new Map<string, number[]>();

  /** Units of started requests, by workspace. */
  readonly startedUnits = new Map<string, number>();

  private readonly queue: FairQueue<SimulatedRequest>;

  private now = 0;

  private inFlight = 0;

  private running: RunningRequest[] = [];

  constructor(
    private readonly limit: number,
    weightOf: (workspace: string) => number,
  ) {
    this.queue = new FairQueue(weightOf);
  }

  arrive(workspace: string, units: number, durationMs: number): SimulatedRequest {
    const request = { workspace, units, durationMs, arrivedAt: this.now };
    this.queue.enqueue(request);
    this.pump();
    return request;
  }

  evict(newcomer: SimulatedRequest): SimulatedRequest {
    return this.queue.evict(newcomer);
  }

  advance(ms: number): void {
    for (const until = this.now + ms; this.now < until; this.now += tickMs) {
      const ended = this.running.filter(({ endsAt }) => endsAt <= this.now);
      this.running = this.running.filter(({ endsAt }) => endsAt > this.now);
      ended.forEach(({ request: { workspace, units } }) => {
        this.inFlight -= units;
        this.queue.finish(workspace, units, units);
      });
      this.pump();
    }
  }

  private pump(): void {
    for (;;) {
      const { limit, inFlight } = this;
      const fits = (units: number) => inFlight === 0 || inFlight + units <= limit;
      const request = this.queue.dequeue({ limit, inFlight, fits });
      if (!request) return;
      this.start(request);
    }
  }

  private start(request: SimulatedRequest): void {
    const { workspace, units, arrivedAt, durationMs } = request;
    this.queue.start(workspace, units, this.limit);
    this.inFlight += units;
    this.running.push({ request, endsAt: this.now + durationMs });
    this.waits.set(workspace, [...(this.waits.get(workspace) ?? []), this.now - arrivedAt]);
    this.startedUnits.set(workspace, (this.startedUnits.get(workspace) ?? 0) + units);
  }
}
