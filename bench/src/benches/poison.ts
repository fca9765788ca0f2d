import { crashingPrompt } from '@laburnumstream/standins';
import { Caller } from '../caller.js';
import type { BenchRun, Measurement } from '../figure.js';
import { Fleet } from '../fleet.js';
import type { FleetShape } from '../fleetShape.js';
import { percentile } from '../percentile.js';

const shape: FleetShape = {
  dataCentres: [
    { name: 'north-a', region: 'north', entries: 2 },
    { name: 'south-a', region: 'south', entries: 1 },
  ],
  services: [{ name: 'assistant', kind: 'engine', endpoints: [4, 2] }],
  originRegion: 'north',
};
const neighbours = 12;
const neighbourTokens = 80;
const copies = 6;
const tokenMs = 5;

interface Round {
  readonly lostEndpoints: number;
  readonly convictedCount: number;
  readonly completeNeighbours: number;
  readonly refusedMs: readonly number[];
}

function countCrashes(fleet: Fleet): number {
  return fleet.agents.reduce((sum, { engine }) => sum + (engine?.crashes ?? 0), 0);
}

/** Sends one crashing request repeatedly through all entries while neighbour requests run. */
async function runRound(fleet: Fleet, callers: readonly Caller[], round: number): Promise<Round> {
  const before = countCrashes(fleet);
  const callerAt = (index: number): Caller => callers[index % callers.length]!;
  const neighbourRequests = Array.from({ length: neighbours }, (_, index) =>
    callerAt(index).complete('assistant', `Neighbour ${round} ${index}`, {
      maxTokens: neighbourTokens,
    }),
  );
  const refusedMs: number[] = [];
  for (let copy = 0; copy < copies; copy += 1) {
    const result = await callerAt(copy).complete('assistant', `${crashingPrompt} ${round}`);
    if (copy > 0) refusedMs.push(result.totalMs);
  }
  const neighbourResults = await Promise.all(neighbourRequests);
  const completeNeighbours = neighbourResults.filter(
    ({ ended, tokens }) => ended && tokens.length === neighbourTokens,
  );
  const { body } = await fleet.admin('GET', 'convictions');
  const convictedCount = (body as unknown as unknown[]).length;
  const lostEndpoints = countCrashes(fleet) - before;
  return {
    lostEndpoints,
    convictedCount,
    completeNeighbours: completeNeighbours.length,
    refusedMs,
  };
}

/** Endpoints that a crashing request takes down before it is refused, and its effect on others. */
export async function poison({ quick }: BenchRun): Promise<readonly Measurement[]> {
  const rounds = quick ? 1 : 4;
  const engine = { tokenMs, coldCapacity: 64 };
  const fleet = await Fleet.start(shape, { engine, logLevel: 'warn' });
  const callers = fleet.entries.map(({ callerUrl }) => new Caller(callerUrl));
  try {
    const results: Round[] = [];
    for (let round = 0; round < rounds; round += 1) {
      results.push(await runRound(fleet, callers, round));
      await fleet.waitUntilReady();
    }
    const refusedMs = results.flatMap((result) => result.refusedMs);
    const whole = results.reduce((sum, { completeNeighbours }) => sum + completeNeighbours, 0);
    const crashingRequests = rounds;
    const { convictedCount } = results.at(-1)!;
    return [
      {
        name: 'endpoints_lost_before_conviction',
        value: Math.max(...results.map(({ lostEndpoints }) => lostEndpoints)),
      },
      { name: 'innocents_convicted', value: Math.max(0, convictedCount - crashingRequests) },
      {
        name: 'crashing_requests_convicted',
        value: Math.min(convictedCount, crashingRequests),
        unit: 'count',
      },
      { name: 'crashing_requests', value: crashingRequests, unit: 'count' },
      { name: 'neighbours_whole', value: whole / (rounds * neighbours), unit: 'share' },
      { name: 'resent_refused_p95', value: percentile(refusedMs, 0.95), unit: 'ms' },
    ];
  } finally {
    await Promise.all(callers.map((caller) => caller.close()));
    await fleet.close();
  }
}
