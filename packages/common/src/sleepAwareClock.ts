import type { Clock } from './services.js';

/**
 * A clock in milliseconds that keeps running while the instance is suspended. The monotonic clock
 * stops during a suspension and the wall clock may be adjusted, so each reading adds whichever of the
 * two advanced more since the previous reading.
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
