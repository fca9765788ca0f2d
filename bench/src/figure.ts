import { Failure } from '@laburnumstream/common';
import { bounds } from './bounds.js';
import type { Bound } from './bounds.js';

/** A measured value. */
export interface Measurement {
  readonly name: string;
  readonly value: number;
  /** Required only for figures without a bound; others take the unit of their bound. */
  readonly unit?: string;
}

/** A measured value with its unit and, if any, its bound. */
export interface Figure {
  readonly name: string;
  readonly value: number;
  readonly unit: string;
  readonly bound?: string;
}

/** Options of one bench run. */
export interface BenchRun {
  readonly seed: number;
  /** Runs smaller sizes. */
  readonly quick: boolean;
  /** Number of runs; 0 for the bench's default. */
  readonly runs: number;
}

/** Runs a bench and returns its measurements. */
export type Bench = (run: BenchRun) => Promise<readonly Measurement[]>;

const compare: Readonly<Record<Bound['operator'], (value: number, bound: number) => boolean>> = {
  '<=': (value, bound) => value <= bound,
  '>=': (value, bound) => value >= bound,
};

function findBound(bench: string, name: string): Bound | undefined {
  return bounds.find((bound) => bound.bench === bench && bound.figure === name);
}

/** Adds units and bounds to the measurements of a bench. */
export function toFigures(bench: string, measurements: readonly Measurement[]): Figure[] {
  return measurements.map(({ name, value, unit }) => {
    const bound = findBound(bench, name);
    if (!bound && !unit) throw new Failure('no_unit', `The figure ${bench} ${name} has no unit.`);
    if (!bound) return { name, value, unit: unit! };
    return { name, value, unit: bound.unit, bound: `${bound.operator} ${bound.value}` };
  });
}

/** Whether a figure is within its bound; true for figures without one. */
export function isWithin(bench: string, { name, value }: Figure): boolean {
  const bound = findBound(bench, name);
  return !bound || compare[bound.operator](value, bound.value);
}
