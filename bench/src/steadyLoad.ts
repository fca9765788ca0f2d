import { setTimeout as sleep } from 'node:timers/promises';

const secondMs = 1_000;

/** Open-loop load: starts operations at a constant rate until it is stopped. */
export class SteadyLoad<Result> {
  readonly results: Result[] = [];

  private readonly running = new Set<Promise<void>>();

  private stopped = false;

  private readonly loop: Promise<void>;

  constructor(
    private readonly perSecond: number,
    private readonly operation: (index: number) => Promise<Result>,
  ) {
    this.loop = this.run();
  }

  /** Stops starting operations and waits for those in flight. */
  async stop(): Promise<readonly Result[]> {
    this.stopped = true;
    await this.loop;
    await Promise.all(this.running);
    return this.results;
  }

  private async run(): Promise<void> {
    const started = performance.now();
    for (let index = 0; !this.stopped; index += 1) {
      const wait = started + (index / this.perSecond) * secondMs - performance.now();
      if (wait > 0) await sleep(wait);
      this.start(index);
    }
  }

  private start(index: number): void {
    const running = this.operation(index).then((result) => {
      this.results.push(result);
      this.running.delete(running);
    });
    this.running.add(running);
  }
}
