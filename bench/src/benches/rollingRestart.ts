import { setTimeout as sleep } from 'node:timers/promises';
import { Balancer } from '../balancer.js';
import type { BalancedCompletion } from '../balancer.js';
import type { BenchRun, Measurement } from '../figure.js';
import { reportFailures } from '../failureReport.js';
import { Fleet } from '../fleet.js';
import { smallFleet } from '../fleetShape.js';
import type { FleetShape } from '../fleetShape.js';
import { SteadyLoad } from '../steadyLoad.js';
import { warmUp } from '../warmUp.js';

const perSecond = 20;
const maxTokens = 20;
const service = 'assistant';
const engine = { prefillMs: 10, tokenMs: 10 };
const settleMs = 1_000;

const twoPerDataCentre: FleetShape = {
  ...smallFleet,
  dataCentres: smallFleet.dataCentres.map((dataCentre) => ({ ...dataCentre, entries: 2 })),
  services: [
    { name: 'assistant', kind: 'engine', endpoints: [2, 2] },
    { name: 'desk', kind: 'plain', endpoints: [1, 1] },
  ],
};

/** Restarts processes one at a time; returns how many did not exit with code 0. */
async function restartAll(fleet: Fleet, quick: boolean): Promise<number> {
  const entries = quick ? fleet.entries.slice(0, 1) : fleet.entries;
  const engines = fleet.agents.filter((agent) => agent.engine);
  const agents = quick ? engines.slice(0, 1) : fleet.agents;
  let badExits = 0;
  for (const { process } of [...entries, ...agents]) {
    if ((await process.stop()) !== 0) badExits += 1;
    process.start();
    await fleet.waitUntilReady();
    await sleep(settleMs);
  }
  return badExits;
}

/** Requests lost while all entries and agents restart one at a time under load. */
export async function rollingRestart({ quick }: BenchRun): Promise<readonly Measurement[]> {
  const fleet = await Fleet.start(twoPerDataCentre, { engine, logLevel: 'warn' });
  const balancer = await new Balancer(fleet.entries).start();
  try {
    const request = (index: number): Promise<BalancedCompletion> =>
      balancer.complete(service, `order ${index}`, { maxTokens });
    await warmUp(fleet, balancer, service);
    const load = new SteadyLoad(perSecond, request);
    const badExits = await restartAll(fleet, quick);
    const outcomes = await load.stop();
    const lost = outcomes.filter(({ isComplete }) => !isComplete);
    reportFailures(lost);
    return [
      { name: 'lost_requests', value: lost.length },
      { name: 'requests', value: outcomes.length, unit: 'count' },
      { name: 'bad_exits', value: badExits, unit: 'count' },
    ];
  } finally {
    await balancer.stop();
    await fleet.close();
  }
}
