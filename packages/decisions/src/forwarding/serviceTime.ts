import { DecayingMean } from './decayingMean.js';

/** Bounds of a sample, in milliseconds: a clock that stood still or a hung answer must not shift the mean far. */
const sampleBounds = { min: 1, max: 5_000 } as const;
/** Weight of the service's mean beside the samples of the endpoint itself. */
const serviceWeight = 2;

/** Time that a plain service needs for a request at the usual pace, learned from its answers. */
export class ServiceTime {
  private readonly own = new DecayingMean();

  private readonly service = new DecayingMean();

  /** Records an answer of the endpoint. */
  record(ms: number, now: number): void {
    this.own.add(ServiceTime.bound(ms), now);
  }

  /** Records an answer of any endpoint of the service. */
  recordOfService(ms: number, now: number): void {
    this.service.add(ServiceTime.bound(ms), now);
  }

  /** Returns the mean time in milliseconds, that of the endpoint for as much as it has answered; undefined if unknown. */
  meanMs(now: number): number | undefined {
    const own = this.own.at(now);
    const service = this.service.at(now);
    if (own === undefined || service === undefined) return own ?? service;
    const weight = this.own.weightAt(now);
    return (own * weight + service * serviceWeight) / (weight + serviceWeight);
  }

  private static bound(ms: number): number {
    return Math.min(sampleBounds.max, Math.max(sampleBounds.min, ms));
  }
}
