import { setTimeout as sleep } from 'node:timers/promises';
import type { BenchRun, Measurement } from '../figure.js';
import { Fleet } from '../fleet.js';
import type { FleetShape } from '../fleetShape.js';
import type { ManagedProcess } from '../managedProcess.js';
import { percentile } from '../percentile.js';
import { countReverts } from '../virtual/reverts.js';

const secondMs = 1_000;
const settleMs = 5_000;
const changeIntervalMs = 2_500;
const idleMs = 12_000;
const quantile = 0.99;
const readyTimeoutMs = 180_000;
/** Long timeouts: the store's stand-in may be slow on a busy machine. */
const options = { platformTimeoutMs: 10_000, changeTimeoutMs: 30_000 };

interface LogLine {
  readonly message?: string;
  readonly revision?: number;
  readonly timestamp?: string;
}

/** Results of one fleet size. */
interface SizeResult {
  readonly p99Ms: number;
  readonly storeCallsPerSecond: number;
  readonly reverts: number;
}

/** Half of the processes are entries, half agents of plain services, over two data centres. */
function makeShape(processes: number): FleetShape {
  const half = processes / 2;
  const [first, second] = [Math.ceil(half / 2), Math.floor(half / 2)];
  return {
    dataCentres: [
      { name: 'north-a', region: 'north', entries: first },
      { name: 'south-a', region: 'south', entries: second },
    ],
    services: [{ name: 'desk', kind: 'plain', endpoints: [first, second] }],
    originRegion: 'north',
  };
}

/** Parses the revisions that a process logged as in force, with their times. */
function parseAppliedRevisions({ log }: ManagedProcess): { revision: number; atMs: number }[] {
  return log
    .split('\n')
    .filter((line) => line.includes('Configuration in force.'))
    .map((line) => JSON.parse(line) as LogLine)
    .map(({ revision = 0, timestamp = '' }) => ({ revision, atMs: Date.parse(timestamp) }));
}

function countStoreCalls({ keyValue }: Fleet): number {
  const { reads, writes, watches } = keyValue.calls;
  return reads + writes + watches;
}

async function measure(processes: number, changes: number): Promise<SizeResult> {
  const fleet = await Fleet.start(makeShape(processes), {
    readyTimeoutMs,
    optionOverrides: options,
  });
  try {
    await sleep(settleMs);
    const running = [...fleet.entries, ...fleet.agents].map(({ process }) => process);
    const changesMade: { revision: number; startedMs: number }[] = [];
    for (let index = 0; index < changes; index += 1) {
      const entry = fleet.entries[index % fleet.entries.length]!;
      const startedMs = Date.now();
      const parts = { reason: 'bench', defaults: { maxQueue: index + 10 } };
      const { body } = await fleet.admin('POST', 'configuration', parts, entry);
      changesMade.push({ revision: Number(body.revision), startedMs });
      await sleep(changeIntervalMs);
    }
    const before = countStoreCalls(fleet);
    await sleep(idleMs);
    const storeCallsPerSecond = (countStoreCalls(fleet) - before) / (idleMs / secondMs);
    const histories = running.map((process) => parseAppliedRevisions(process));
    const delays = changesMade.flatMap(({ revision, startedMs }) =>
      histories.map((history) => {
        const first = history.find((applied) => applied.revision >= revision);
        return first ? first.atMs - startedMs : Infinity;
      }),
    );
    const reverts = histories.reduce((sum, history) => sum + countReverts(history), 0);
    return { p99Ms: percentile(delays, quantile), storeCallsPerSecond, reverts };
  } finally {
    await fleet.close();
  }
}

/** Configuration spread over 10, 50 and 100 real processes; over 10 only when quick. */
export async function spreadReal({ quick }: BenchRun): Promise<readonly Measurement[]> {
  const results = new Map<number, SizeResult>();
  const changes = quick ? 2 : 4;
  for (const size of quick ? [10] : [10, 50, 100]) results.set(size, await measure(size, changes));
  const bySize = [...results].flatMap(([size, { p99Ms, storeCallsPerSecond }]) => [
    { name: `in_force_p99_${size}_processes`, value: p99Ms / secondMs, unit: 's' },
    { name: `store_calls_${size}_processes`, value: storeCallsPerSecond, unit: 'per_second' },
  ]);
  const reverts = [...results.values()].reduce((sum, result) => sum + result.reverts, 0);
  const [smallest, largest] = [results.get(10), results.get(100)];
  if (!smallest || !largest) return [...bySize, { name: 'reverts', value: reverts }];
  const growth = largest.storeCallsPerSecond / smallest.storeCallsPerSecond;
  return [
    ...bySize,
    { name: 'store_calls_growth_10_to_100', value: growth },
    { name: 'reverts', value: reverts },
  ];
}
