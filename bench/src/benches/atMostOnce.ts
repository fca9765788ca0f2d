import type { BenchRun, Measurement } from '../figure.js';
import { RequestKind } from '../histories/history.js';
import { FaultKind, drawPlan, runHistory } from '../histories/simulation.js';
import type { HistoryPlan, HistoryResult } from '../histories/simulation.js';

const fullHistories = 1_500;
const quickHistories = 150;
const faultsPerHistory = 6;
const requestsPerHistory = 12;
const faultFreeRequests = 60;
const faultFreeIntervalMs = 25;

function sumOf(
  results: readonly HistoryResult[],
  valueOf: (result: HistoryResult) => number,
): number {
  return results.reduce((sum, result) => sum + valueOf(result), 0);
}

/** Plans requests of one kind without faults, or with the store down throughout. */
function makeFaultFreePlan(seed: number, kind: RequestKind, storeDown: boolean): HistoryPlan {
  const outage = { kind: FaultKind.storeDown, atMs: 0, agent: 0, entry: 0, durationMs: 0 };
  const requests = Array.from({ length: faultFreeRequests }, (_, index) => ({
    kind,
    atMs: 10 + index * faultFreeIntervalMs,
    entry: index % 2,
    sendsConcurrentCopy: false,
  }));
  return { seed, faults: storeDown ? [outage] : [], requests, onlyPlannedFaults: true };
}

async function measureOutageShare(seed: number, kind: RequestKind): Promise<number> {
  const { answered, requests } = await runHistory(makeFaultFreePlan(seed, kind, true));
  return answered[kind] / requests[kind];
}

/** Runs seeded histories of the real request code with faults in virtual time and checks them. */
export async function atMostOnce({ seed, quick, runs }: BenchRun): Promise<readonly Measurement[]> {
  const histories = runs || (quick ? quickHistories : fullHistories);
  const results: HistoryResult[] = [];
  for (let index = 0; index < histories; index += 1) {
    results.push(
      await runHistory(drawPlan(seed * 100_000 + index, faultsPerHistory, requestsPerHistory)),
    );
  }
  const requests = sumOf(results, (result) => result.requests.keyed);
  const answered = sumOf(results, (result) => result.answered.keyed);
  const { keyed, unkeyed, idempotent } = RequestKind;
  const faultFree = await runHistory(makeFaultFreePlan(seed, keyed, false));
  const idempotentRun = await runHistory(makeFaultFreePlan(seed, idempotent, false));
  return [
    { name: 'most_runs_per_key', value: Math.max(...results.map(({ mostRuns }) => mostRuns)) },
    { name: 'false_not_run', value: sumOf(results, ({ falseNotRun }) => falseNotRun) },
    { name: 'lost_or_crossed_answers', value: sumOf(results, (each) => each.lostOrCrossed) },
    { name: 'histories', value: histories, unit: 'count' },
    { name: 'keyed_answered_with_faults', value: answered / requests, unit: 'share' },
    {
      name: 'store_calls_per_keyed_request',
      value: faultFree.storeCalls / faultFree.requests.keyed,
      unit: 'calls',
    },
    { name: 'store_calls_of_idempotent_requests', value: idempotentRun.storeCalls, unit: 'calls' },
    {
      name: 'keyed_served_in_store_outage',
      value: await measureOutageShare(seed, keyed),
      unit: 'share',
    },
    {
      name: 'unkeyed_served_in_store_outage',
      value: await measureOutageShare(seed, unkeyed),
      unit: 'share',
    },
    {
      name: 'idempotent_served_in_store_outage',
      value: await measureOutageShare(seed, idempotent),
      unit: 'share',
    },
  ];
}
