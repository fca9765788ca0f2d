import { SeededRandom } from '@laburnumstream/common';
import { RequestKind, checkHistories } from './history.js';
import type { Verdicts } from './history.js';
import { World } from './world.js';
import type { PlantedFault } from './world.js';

/** Faults that are injected into a history. */
export const FaultKind = {
  killAgent: 'killAgent',
  freezeAgent: 'freezeAgent',
  killEntry: 'killEntry',
  freezeEntry: 'freezeEntry',
  cutLink: 'cutLink',
  silenceLink: 'silenceLink',
  storeDown: 'storeDown',
  storeUp: 'storeUp',
  loseAnswers: 'loseAnswers',
} as const;

/** One of the values of {@link FaultKind}. */
export type FaultKind = (typeof FaultKind)[keyof typeof FaultKind];

/** A scheduled fault. Fields that its kind does not use are ignored. */
export interface HistoryFault {
  readonly kind: FaultKind;
  readonly atMs: number;
  readonly agent: number;
  readonly entry: number;
  readonly durationMs: number;
}

/** One request of a history. */
export interface HistoryRequest {
  readonly kind: RequestKind;
  readonly atMs: number;
  readonly entry: number;
  /** Whether a second copy is sent while the first may be outstanding. */
  readonly sendsConcurrentCopy: boolean;
}

/** The seed, faults and requests of one history. */
export interface HistoryPlan {
  readonly seed: number;
  readonly faults: readonly HistoryFault[];
  readonly requests: readonly HistoryRequest[];
  /** Disables random refusals and lost responses, so that only `faults` occur. */
  readonly onlyPlannedFaults?: boolean;
}

/** Results of a history. */
export interface HistoryResult extends Verdicts {
  readonly storeCalls: number;
}

const runMs = 60_000;
const activityMs = 2_000;
const concurrentCopyDelayMs = 30;
const maxCopies = 4;
const copyDelayMs = 100;

type FaultAction = (world: World, fault: HistoryFault) => void;

function getAgentHost(world: World, { agent }: HistoryFault) {
  const agents = [...world.agents.values()];
  return agents[agent % agents.length]!.host;
}

function getEntryHost(world: World, { entry }: HistoryFault) {
  return world.entries[entry % world.entries.length]!.host;
}

const faultActions: Readonly<Record<FaultKind, FaultAction>> = {
  killAgent: (world, fault) => getAgentHost(world, fault).kill(),
  freezeAgent: (world, fault) => getAgentHost(world, fault).freeze(fault.durationMs),
  killEntry: (world, fault) => getEntryHost(world, fault).kill(),
  freezeEntry: (world, fault) => getEntryHost(world, fault).freeze(fault.durationMs),
  cutLink: (world, fault) =>
    world.network.cut(getEntryHost(world, fault).name, getAgentHost(world, fault).name),
  silenceLink: (world, fault) =>
    world.network.silence(getEntryHost(world, fault).name, getAgentHost(world, fault).name),
  storeDown: ({ store }) => Object.assign(store, { isDown: true }),
  storeUp: ({ store }) => Object.assign(store, { isDown: false }),
  loseAnswers: ({ store, clock }, { durationMs }) => {
    Object.assign(store, { lostResponseShare: 0.5 });
    clock.at(durationMs, () => Object.assign(store, { lostResponseShare: 0 }));
  },
};

/** Sends a request; retries a keyed one through the other entries until it is answered. */
async function sendUntilAnswered(
  world: World,
  name: string,
  request: HistoryRequest,
): Promise<void> {
  const { kind, entry, sendsConcurrentCopy } = request;
  const copies = kind === RequestKind.keyed ? maxCopies : 1;
  if (sendsConcurrentCopy && copies > 1) {
    world.clock.at(concurrentCopyDelayMs, () => void world.submit(kind, name, entry + 1));
  }
  for (let copy = 0; copy < copies; copy += 1) {
    if (await world.submit(kind, name, entry + copy)) return;
    await world.clock.sleep(copyDelayMs);
  }
}

/** Runs a history in virtual time and checks it. */
export async function runHistory(
  plan: HistoryPlan,
  plantedFault?: PlantedFault,
): Promise<HistoryResult> {
  const world = new World(plan.seed, plantedFault, plan.onlyPlannedFaults);
  plan.faults.forEach((fault) => {
    world.clock.at(fault.atMs, () => faultActions[fault.kind](world, fault));
  });
  plan.requests.forEach((request, index) => {
    world.clock.at(request.atMs, () => void sendUntilAnswered(world, `request-${index}`, request));
  });
  await world.clock.run(runMs);
  return { ...checkHistories(world.results), storeCalls: world.store.calls };
}

const drawnKinds = [
  RequestKind.keyed,
  RequestKind.keyed,
  RequestKind.unkeyed,
  RequestKind.idempotent,
];

/** Draws a plan from a seed. */
export function drawPlan(seed: number, faultCount: number, requestCount: number): HistoryPlan {
  const random = new SeededRandom(seed);
  const below = (limit: number): number => Math.floor(random.next() * limit);
  const faultKinds = Object.values(FaultKind);
  const faults = Array.from({ length: faultCount }, () => ({
    kind: faultKinds[below(faultKinds.length)]!,
    atMs: below(activityMs),
    agent: below(3),
    entry: below(2),
    durationMs: below(10_000),
  }));
  const requests = Array.from({ length: requestCount }, () => ({
    kind: drawnKinds[below(drawnKinds.length)]!,
    atMs: below(activityMs),
    entry: below(2),
    sendsConcurrentCopy: random.next() < 0.3,
  }));
  return { seed, faults, requests };
}
