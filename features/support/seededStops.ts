import { setTimeout as sleep } from 'node:timers/promises';
import { SeededRandom } from '@laburnumstream/common';
import { PlannedStop } from '@laburnumstream/decisions';
import { callRegularly, callUntilGone } from './stopCaller.js';
import type { StopOutcome, StopRequest } from './stopCaller.js';
import { StopFleet, roomyShape } from './stopFleet.js';

/** A stop that was played, and how all requests ended. */
export interface PlayedStop {
  readonly seed: number;
  /** Monotonic time of the signal, in milliseconds. */
  readonly stoppedAt: number;
  /** Monotonic time at which what is left of streams may be cut, in milliseconds. */
  readonly latestEndAt: number;
  readonly outcomes: readonly StopOutcome[];
  /** Ids of the requests that engines have begun to execute. */
  readonly ranIds: ReadonlySet<string>;
  /** Log lines of the entry on requests that got no response or a refusal; none for one that was not read. */
  readonly lines: ReadonlyMap<string, readonly string[]>;
  /** Log lines of the entry on its stop. */
  readonly stopLines: readonly string[];
  /** Monotonic time at which its exit was noticed, in milliseconds. */
  readonly exitedAt: number | undefined;
}

const routes = ['safe', 'unsafe', 'stream'] as const;
/** Deadlines of requests, within the grace time and beyond it, in milliseconds. */
const deadlinesMs = [500, 1_000, 2_500, 3_300, 6_000] as const;
/** Requests that are taken before the signal end within the grace time, whatever their deadline is. */
const longestWorkMs = 2_800;
/** Time that a request and a stream take beyond the work of the engine, in milliseconds. */
const transitMs = 450;
const msPerSecond = 1_000;
const keptCallers = 6;
/** Time between new connections, in milliseconds. */
const intervalMs = 60;
/** Range of the time of the signal, in milliseconds after the start of the traffic. */
const stopAfterMs = { min: 300, spread: 1_200 } as const;
/** Stops that are played at a time. */
const parallelStops = 4;

function pick<Value>(values: readonly Value[], random: SeededRandom): Value {
  return values[Math.floor(random.next() * values.length)]!;
}

async function playStop(seed: number, fleet: StopFleet, graceS: number): Promise<PlayedStop> {
  const random = new SeededRandom(seed);
  const next = (): StopRequest => {
    const deadlineMs = pick(deadlinesMs, random);
    const workMs = random.next() * Math.min(longestWorkMs, deadlineMs - transitMs);
    return { route: pick(routes, random), workMs: Math.round(workMs), deadlineMs };
  };
  try {
    const sent = [
      callRegularly(fleet, intervalMs, next),
      ...Array.from({ length: keptCallers }, () => callUntilGone(fleet, next)),
    ];
    await sleep(stopAfterMs.min + random.next() * stopAfterMs.spread);
    fleet.stop();
    const outcomes = (await Promise.all(sent)).flat();
    const stoppedAt = fleet.stoppedAt!;
    const { latestEndAt } = new PlannedStop(stoppedAt, graceS * msPerSecond);
    const { ranIds } = fleet;
    const doubtful = outcomes.filter(
      ({ id, status }) => status === 0 || (status === 503 && ranIds.has(id)),
    );
    return {
      seed,
      stoppedAt,
      latestEndAt,
      outcomes,
      ranIds,
      // The quote after the id keeps lines of longer ids out.
      lines: new Map(doubtful.map(({ id }) => [id, fleet.findLines(`"${id}"`)])),
      stopLines: fleet.findLines('"process: '),
      exitedAt: fleet.exitedAt,
    };
  } finally {
    fleet.close();
  }
}

/** Starts fleets one after the other, as each takes adjacent ports; ends them if one does not start. */
async function startFleets(count: number, graceS: number): Promise<StopFleet[]> {
  const fleets: StopFleet[] = [];
  try {
    while (fleets.length < count) fleets.push(await StopFleet.start({ ...roomyShape, graceS }));
  } catch (error) {
    fleets.forEach((fleet) => fleet.close());
    throw error;
  }
  return fleets;
}

/** Plays stops with seeds from `startSeed` on, a few at a time. */
export async function playSeededStops(
  count: number,
  graceS: number,
  startSeed = 1,
): Promise<PlayedStop[]> {
  const played: PlayedStop[] = [];
  while (played.length < count) {
    const fleets = await startFleets(Math.min(parallelStops, count - played.length), graceS);
    const firstSeed = startSeed + played.length;
    const stops = fleets.map((fleet, index) => playStop(firstSeed + index, fleet, graceS));
    played.push(...(await Promise.all(stops)));
  }
  return played;
}
