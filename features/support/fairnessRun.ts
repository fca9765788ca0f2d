import { FairQueue } from '@laburnumstream/decisions';
import type { QueueItem } from '@laburnumstream/decisions';

/** A request of a modelled workspace. */
export interface ModelRequest extends QueueItem {
  readonly arrivedAt: number;
  readonly durationMs: number;
}

interface Running {
  readonly request: ModelRequest;
  readonly endsAt: number;
}

const tickMs = 1;

/** An endpoint of a fixed limit behind a fair queue, in virtual time. */
export class FairnessRun {
  /** Waits until the start, by workspace, in milliseconds. */
  readonly waits = new Map<string, number[]>();

  /** Units started, by workspace. */
  readonly served = new Map<string, number>();

  private readonly queue: FairQueue<ModelRequest>;

  private now = 0;

  private inFlight = 0;

  private running: Running[] = [];

  constructor(
    private readonly limit: number,
    weightOf: (workspace: string) => number,
  ) {
    this.queue = new FairQueue(weightOf);
  }

  arrive(workspace: string, units: number, durationMs: number): ModelRequest {
    const request = { workspace, units, durationMs, arrivedAt: this.now };
    this.queue.enqueue(request);
    this.pump();
    return request;
  }

  evict(newcomer: ModelRequest): ModelRequest {
    return this.queue.evict(newcomer);
  }

  advance(ms: number): void {
    for (const until = this.now + ms; this.now < until; this.now += tickMs) {
      const over = this.running.filter(({ endsAt }) => endsAt <= this.now);
      this.running = this.running.filter(({ endsAt }) => endsAt > this.now);
      over.forEach(({ request: { workspace, units } }) => {
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

  private start(request: ModelRequest): void {
    const { workspace, units, arrivedAt, durationMs } = request;
    this.queue.start(workspace, units, this.limit);
    this.inFlight += units;
    this.running.push({ request, endsAt: this.now + durationMs });
    this.waits.set(workspace, [...(this.waits.get(workspace) ?? []), this.now - arrivedAt]);
    this.served.set(workspace, (this.served.get(workspace) ?? 0) + units);
  }
}
