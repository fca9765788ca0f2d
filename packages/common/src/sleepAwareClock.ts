import type { Clock } from './services.js';

/**
 * Time that goes on while the instance sleeps, in milliseconds. The monotonic clock stands still then
 * and the wall clock may be set, so each look adds whichever advanced more since the one before.
 */
export class SleepAwareClock {
  private elapsed = 0;

  private lastNow: number;

  private lastWall: number;

  constructor(private readonly clock: Clock) {
    this.lastNow = clock.now();
    this.lastWall = clock.wall();
  }

  now(): number {
    const now = this.clock.now();
    const wall = this.clock.wall();
    this.elapsed += Math.max(0, now - this.lastNow, wall - this.lastWall);
    this.lastNow = now;
    this.lastWall = wall;
    return this.elapsed;
  }
}
