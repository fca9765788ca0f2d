import type { Clock } from '@laburnumstream/common';
import type { VirtualClock } from './virtualClock.js';

// Never settles, so code of a dead process does not continue.
const never = new Promise<void>((resolve) => {
  void resolve;
});

/** A simulated process that can be killed or frozen; it makes no progress in that state. */
export class Host implements Clock {
  private dead = false;

  private frozenUntil = 0;

  constructor(
    readonly name: string,
    private readonly clock: VirtualClock,
  ) {}

  get isAlive(): boolean {
    return !this.dead;
  }

  kill(): void {
    this.dead = true;
  }

  freeze(ms: number): void {
    this.frozenUntil = Math.max(this.frozenUntil, this.clock.now() + ms);
  }

  now(): number {
    return this.clock.now();
  }

  wall(): number {
    return this.clock.wall();
  }

  async sleep(ms: number, signal?: AbortSignal): Promise<void> {
    await this.clock.sleep(ms, signal);
    await this.whenRunning();
  }

  /** Resolves as soon as the process is not frozen; never when it is dead. */
  async whenRunning(): Promise<void> {
    if (this.dead) await never;
    const remainingMs = this.frozenUntil - this.clock.now();
    if (remainingMs <= 0) return;
    await this.clock.sleep(remainingMs);
    await this.whenRunning();
  }

  /** Delivers an external result to the process once it runs. */
  async receive<Result>(result: Promise<Result>): Promise<Result> {
    try {
      return await result;
    } finally {
      await this.whenRunning();
    }
  }
}
