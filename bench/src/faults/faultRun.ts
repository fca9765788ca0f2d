import { SeededRandom } from '@laburnumstream/common';
import { defaultEngineBehaviour } from '@laburnumstream/standins';
import type { EngineStandIn } from '@laburnumstream/standins';
import { Fleet } from '../fleet.js';
import { small } from '../fleetShape.js';
import { chooseFaults, faultActions } from './faultActions.js';
import { FaultHistory } from './faultHistory.js';
import { FaultLoad } from './faultLoad.js';
import { findBreaks } from './invariants.js';
import type { Break, Observed } from './invariants.js';

const model = 'assistant-model';
const recoveryMs = 60_000;
const engine = {
  ...defaultEngineBehaviour,
  prefillMs: 5,
  tokenMs: 3,
  coldCapacity: 4,
  capacity: 24,
};

/** The outcome of one run. */
export interface FaultOutcome {
  readonly faults: readonly string[];
  readonly breaks: readonly Break[];
  readonly completions: number;
  readonly wholeShare: number;
  readonly orders: number;
}

function coldOverload(engines: readonly EngineStandIn[]): number {
  const over = engines.map(
    ({ maxUnitsWhileCold: mostWhileCold, behaviour }) => mostWhileCold - behaviour.coldCapacity,
  );
  return Math.max(0, ...over);
}

function observe(fleet: Fleet): Observed {
  const engines = fleet.agents.flatMap((agent) => agent.engine ?? []);
  return {
    orderRuns: fleet.agents.flatMap(({ plain }) => plain?.runs.map(({ body }) => body) ?? []),
    contents: fleet.origin.getContentDigests(model),
    engineRuns: fleet.agents.flatMap((agent) =>
      (agent.engine?.runs ?? []).map((run) => ({ dataCentre: agent.centre.name, run })),
    ),
    coldOverload: coldOverload(engines),
    serving: engines.map(({ loadedDigest: serving }) => serving),
  };
}

/** Heals what faults may have left behind, so that the system can recover. */
function heal(fleet: Fleet): void {
  Object.assign(fleet.keyValue.faults, { down: false, delayMs: 0, loseAnswers: 0 });
  [...fleet.entries, ...fleet.agents].forEach(({ process }) => {
    process.signal('SIGCONT');
    if (!process.isRunning) process.start();
  });
}

/** Whether every entry knows every agent and a completion comes whole again. */
async function recovered(fleet: Fleet, load: FaultLoad): Promise<Break[]> {
  try {
    await fleet.ready();
    await fleet.until(() => fleet.rolledOut(model), 'all engines serve the release', recoveryMs);
    await fleet.until(() => load.completion(), 'a completion comes whole', recoveryMs);
    return [];
  } catch (error) {
    return [{ invariant: 'recovery', detail: String(error) }];
  }
}

/** Runs two or three overlapping failures under load and checks all invariants. */
export async function runFaults(seed: number, lastsMs: number): Promise<FaultOutcome> {
  const random = new SeededRandom(seed);
  const history = new FaultHistory();
  const fleet = await Fleet.start(small, { engine, relays: true, logLevel: 'warn' });
  const load = new FaultLoad(fleet, history, random);
  try {
    history.faults.push(...chooseFaults(random));
    load.start();
    await Promise.all(
      history.faults.map((name) => faultActions[name]!({ fleet, random, history, lastsMs })),
    );
    heal(fleet);
    const unrecovered = await recovered(fleet, load);
    await load.stop();
    const breaks = [...findBreaks(history, observe(fleet)), ...unrecovered];
    if (breaks.length > 0) fleet.reportDead();
    const whole = history.completions.filter(({ ended }) => ended).length;
    const { length } = history.completions;
    const orders = new Set(history.orders.map(({ key }) => key)).size;
    return {
      faults: history.faults,
      breaks,
      completions: length,
      wholeShare: whole / length,
      orders,
    };
  } finally {
    await fleet.close();
  }
}
