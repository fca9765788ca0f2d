import { SeededRandom, hash32 } from '@laburnumstream/common';
import {
  AdmissionLimit,
  FairQueue,
  RetryBudget,
  RoutingTable,
  createTarget,
} from '@laburnumstream/decisions';
import type { RoutingMember } from '@laburnumstream/decisions';
import type { BenchRun, Measurement } from '../figure.js';
import { percentile } from '../percentile.js';

const sizes = [10, 100, 760] as const;
const dataCentres = 6;
const rounds = 9;
const secondMs = 1_000;
const affinities = 4_096;
const limit = 64;

function makeTable(endpoints: number): RoutingTable {
  const members: RoutingMember[] = Array.from({ length: endpoints }, (_, index) => {
    const target = createTarget(`engine-${index}`);
    Object.assign(target, { limit, reported: index % limit });
    const centre = index % dataCentres;
    return { target, dataCentre: `centre-${centre}`, region: `region-${centre % 2}` };
  });
  const place = { dataCentre: 'centre-0', region: 'region-0' };
  return new RoutingTable('entry-1', place, members);
}

function measureRate(count: number, decide: () => void): number {
  const started = performance.now();
  for (let index = 0; index < count; index += 1) decide();
  return (count / (performance.now() - started)) * secondMs;
}

/** Median rates of several operations; rounds alternate, so that a busy machine slows all alike. */
function measureRates(count: number, operations: readonly (() => void)[]): number[] {
  const samplesByOperation = operations.map(() => [] as number[]);
  for (let round = 0; round <= rounds; round += 1) {
    operations.forEach((operation, index) => {
      const rate = measureRate(count, operation);
      if (round > 0) samplesByOperation[index]!.push(rate);
    });
  }
  return samplesByOperation.map((samples) => percentile(samples, 0.5));
}

/** A routing decision as in an entry: prefix hash, choice, load accounting. */
function routing(endpoints: number, seed: number): () => void {
  const table = makeTable(endpoints);
  const random = new SeededRandom(seed);
  const prefixes = Array.from({ length: affinities }, (_, index) => `workspace\n${index}`);
  let next = 0;
  return () => {
    next = (next + 1) % affinities;
    const target = table.choose(hash32(prefixes[next]!), random)!;
    target.own += 1;
    if (next % 2 === 0) target.own -= 2;
  };
}

/** An admission decision through the fair queue: push, shift, start, finish. */
function admission(workspaces: number): () => void {
  const bounds = new AdmissionLimit({ coldLimit: limit, maxLimit: limit });
  const queue = new FairQueue(() => 1);
  let next = 0;
  const fits = (units: number): boolean => bounds.fits(units, next);
  return () => {
    next += 1;
    const workspace = `workspace-${next % workspaces}`;
    queue.enqueue({ workspace, units: 1 });
    const item = queue.dequeue({ limit, inFlight: bounds.inFlight, fits })!;
    queue.start(item.workspace, item.units, limit);
    const work = bounds.start(item.units, next);
    bounds.finish(work, true, next);
    queue.finish(item.workspace, item.units, item.units);
  };
}

function retries(): () => void {
  const budget = new RetryBudget();
  return () => {
    budget.recordRequest('workspace');
    budget.tryAcquire('workspace');
  };
}

/** Routing, admission and retry decisions per second, and how routing cost grows with the fleet. */
export async function decisions({ seed, quick }: BenchRun): Promise<readonly Measurement[]> {
  const count = quick ? 50_000 : 300_000;
  const [few, some, many] = measureRates(
    count,
    sizes.map((size) => routing(size, seed)),
  );
  const [admitted, retried] = measureRates(count, [admission(10), retries()]);
  const unit = 'per_second';
  return [
    { name: 'routing_per_second_10', value: few!, unit },
    { name: 'routing_per_second_100', value: some!, unit },
    { name: 'routing_per_second_760', value: many! },
    { name: 'routing_cost_growth_10_to_760', value: few! / many! },
    { name: 'admission_per_second', value: admitted!, unit },
    { name: 'retry_per_second', value: retried!, unit },
  ];
}
