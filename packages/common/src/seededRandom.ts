import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import type { Random } from './services.js';

/** Deterministic pseudo-random number generator. */
export class SeededRandom implements Random {
  private readonly generator;

  constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
  }

  next(): number {
    return uniformFloat64(this.generator);
  }
}
