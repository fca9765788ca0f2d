import type { Clock } from '@laburnumstream/common';
import type { EngineModel } from '@laburnumstream/decisions';

/** A request at a simulated engine. */
export interface EngineRequest {
  readonly promptTokens: number;
  readonly events: number;
  /** Called with the monotonic time of each event. */
  readonly onEvent: (at: number) => void;
  readonly onEnd: () => void;
}

/**
 * A model engine with continuous batching in virtual time: each pass prefills the newly admitted
 * prompts and emits one event of every running request.
 */
export class VirtualEngine {
  private readonly queue: EngineRequest[] = [];

  /** Remaining events of each running request. */
  private readonly running = new Map<EngineRequest, number>();

  private isBusy = false;

  constructor(
    private readonly model: EngineModel,
    private readonly clock: Clock,
  ) {}

  get load(): { readonly running: number; readonly waiting: number; readonly slowdown: number } {
    return { running: this.running.size, waiting: this.queue.length, slowdown: 1 };
  }

  send(request: EngineRequest): void {
    this.queue.push(request);
    if (!this.isBusy) void this.run();
  }

  private async run(): Promise<void> {
    this.isBusy = true;
    while (this.queue.length + this.running.size > 0) {
      const admitted = this.queue.splice(0, this.model.slots - this.running.size);
      admitted.forEach((request) => this.running.set(request, request.events));
      const readMs = admitted.reduce(
        (sum, request) => sum + this.model.prefillMs(request.promptTokens),
        0,
      );
      await this.clock.sleep(readMs + this.model.passMs(this.running.size));
      this.emitEvents();
    }
    this.isBusy = false;
  }

  private emitEvents(): void {
    const now = this.clock.now();
    this.running.forEach((remaining, request) => {
      request.onEvent(now);
      if (remaining > 1) {
        this.running.set(request, remaining - 1);
        return;
      }
      this.running.delete(request);
      request.onEnd();
    });
  }
}
