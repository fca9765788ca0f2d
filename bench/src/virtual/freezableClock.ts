import type { Clock } from '@laburnumstream/common';

/** The clock of one process that can be frozen: its sleeps do not resolve before it thaws. */
export class FreezableClock implements Clock {
  private isFrozen = false;

  private waiters: (() => void)[] = [];

  constructor(private readonly clock: Clock) {}

  get frozen(): boolean {
    return this.isFrozen;
  }

  now(): number {
    return this.clock.now();
  }

  wall(): number {
    return this.clock.wall();
  }

  async sleep(ms: number, signal?: AbortSignal): Promise<void> {
    try {
      await this.clock.sleep(ms, signal);
    } finally {
      await this.whenRunning();
    }
  }

  freeze(): void {
    this.isFrozen = true;
  }

  thaw(): void {
    this.isFrozen = false;
    const waiting = this.waiters;
    this.waiters = [];
    waiting.forEach((resume) => resume());
  }

  /** Resolves as soon as the process is not frozen. */
  private async whenRunning(): Promise<void> {
    while (this.isFrozen) {
      await new Promise<void>((resolve) => {
        this.waiters.push(resolve);
      });
    }
  }
}
