import type { Clock } from '@laburnumstream/common';
import type { EngineModel } from '@laburnumstream/decisions';

/** A request at a simulated engine. */
export interface EngineWork {
  readonly promptTokens: number;
  readonly events: number;
  /** Called with the monotonic time of each event. */
  readonly onEvent: (at: number) => void;
  readonly onEnd: () => void;
}

/** A model engine in virtual time: each pass reads the new prompts and writes an event of each request. */
export class VirtualEngine {
  private readonly queue: EngineWork[] = [];

  /** Events that each running request still has to write. */
  private readonly running = new Map<EngineWork, number>();

  private isBusy = false;

  constructor(
    private readonly model: EngineModel,
    private readonly clock: Clock,
  ) {}

  get load(): { readonly running: number; readonly waiting: number; readonly slowdown: number } {
    return { running: this.running.size, waiting: this.queue.length, slowdown: 1 };
  }

  send(work: EngineWork): void {
    this.queue.push(work);
    if (!this.isBusy) void this.work();
  }

  private async work(): Promise<void> {
    this.isBusy = true;
    while (this.queue.length + this.running.size > 0) {
      const fresh = this.queue.splice(0, this.model.slots - this.running.size);
      fresh.forEach((work) => this.running.set(work, work.events));
      const readMs = fresh.reduce((sum, work) => sum + this.model.prefillMs(work.promptTokens), 0);
      await this.clock.sleep(readMs + this.model.passMs(this.running.size));
      this.pass();
    }
    this.isBusy = false;
  }

  private pass(): void {
    const now = this.clock.now();
    this.running.forEach((left, work) => {
      work.onEvent(now);
      if (left > 1) {
        this.running.set(work, left - 1);
        return;
      }
      this.running.delete(work);
      work.onEnd();
    });
  }
}
