import { SeededRandom } from '@laburnumstream/common';
import { defaultEngineBehaviour } from '@laburnumstream/standins';
import type { EngineStandIn } from '@laburnumstream/standins';
import { Fleet } from '../fleet.js';
import { smallFleet } from '../fleetShape.js';
import { chooseFaults, faultActions } from './faultActions.js';
import { FaultHistory } from './faultHistory.js';
import { FaultLoad } from './faultLoad.js';
import { findViolations } from './invariants.js';
import type { Violation, Observations } from './invariants.js';

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
  readonly violations: readonly Violation[];
  readonly completions: number;
  readonly completeShare: number;
  readonly orders: number;
}

function coldOverload(engines: readonly EngineStandIn[]): number {
  const over = engines.map(
    ({ maxUnitsWhileCold, behaviour }) => maxUnitsWhileCold - behaviour.coldCapacity,
  );
  return Math.max(0, ...over);
}

function observe(fleet: Fleet): Observations {
  const engines = fleet.agents.flatMap((agent) => agent.engine ?? []);
  return {
    orderRuns: fleet.agents.flatMap(({ plain }) => plain?.runs.map(({ body }) => body) ?? []),
    contents: fleet.origin.getContentDigests(model),
    engineRuns: fleet.agents.flatMap((agent) =>
      (agent.engine?.runs ?? []).map((run) => ({ dataCentre: agent.dataCentre.name, run })),
    ),
    coldOverload: coldOverload(engines),
    serving: engines.map(({ loadedDigest }) => loadedDigest),
  };
}

/** Removes all remaining faults, so that the system can recover. */
function heal(fleet: Fleet): void {
  Object.assign(fleet.keyValue.faults, { down: false, delayMs: 0, loseAnswers: 0 });
  [...fleet.entries, ...fleet.agents].forEach(({ process }) => {
    process.signal('SIGCONT');
    if (!process.isRunning) process.start();
  });
}

/** Checks that every entry knows every agent and that a completion succeeds again. */
async function checkRecovery(fleet: Fleet, load: FaultLoad): Promise<Violation[]> {
  try {
    await fleet.waitUntilReady();
    await fleet.waitUntil(
      () => fleet.isRolledOut(model),
      'all engines serve the release',
      recoveryMs,
    );
    await fleet.waitUntil(() => load.sendCompletion(), 'a completion succeeds', recoveryMs);
    return [];
  } catch (error) {
    return [{ invariant: 'recovery', detail: String(error) }];
  }
}

/** Runs two or three overlapping faults under load and checks all invariants. */
export async function runFaults(seed: number, durationMs: number): Promise<FaultOutcome> {
  const random = new SeededRandom(seed);
  const history = new FaultHistory();
  const fleet = await Fleet.start(smallFleet, { engine, relays: true, logLevel: 'warn' });
  const load = new FaultLoad(fleet, history, random);
  try {
    history.faults.push(...chooseFaults(random));
    load.start();
    await Promise.all(
      history.faults.map((name) => faultActions[name]!({ fleet, random, history, durationMs })),
    );
    heal(fleet);
    const recoveryViolations = await checkRecovery(fleet, load);
    await load.stop();
    const violations = [...findViolations(history, observe(fleet)), ...recoveryViolations];
    if (violations.length > 0) fleet.printExitedLogs();
    const complete = history.completions.filter(({ ended }) => ended).length;
    const { length } = history.completions;
    const orders = new Set(history.orders.map(({ key }) => key)).size;
    return {
      faults: history.faults,
      violations,
      completions: length,
      completeShare: complete / length,
      orders,
    };
  } finally {
    await fleet.close();
  }
}
