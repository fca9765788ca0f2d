import { setTimeout as sleep } from 'node:timers/promises';
import type { Random } from '@laburnumstream/common';
import { RelayMode, crashingPrompt } from '@laburnumstream/standins';
import { Caller } from '../caller.js';
import type { Fleet, FleetAgent } from '../fleet.js';
import type { FaultHistory } from './faultHistory.js';

/** The fleet and parameters of a fault. */
export interface FaultContext {
  readonly fleet: Fleet;
  readonly random: Random;
  readonly history: FaultHistory;
  /** Length of the fault, in milliseconds. */
  readonly durationMs: number;
}

/** Injects a fault and removes it after its duration. */
export type FaultAction = (context: FaultContext) => Promise<void>;

const model = 'assistant-model';
/** Time within which an operator's change reaches every process. */
const propagationMs = 3_000;

function pick<Item>(items: readonly Item[], random: Random): Item {
  return items[Math.floor(random.next() * items.length)]!;
}

function pickEngine({ fleet, random }: FaultContext): FleetAgent {
  return pick(
    fleet.agents.filter(({ engine }) => engine),
    random,
  );
}

async function killAgent({ fleet, random, durationMs }: FaultContext): Promise<void> {
  const { process } = pick(fleet.agents, random);
  await process.kill();
  await sleep(durationMs / 2);
  process.start();
}

async function killEntry({ fleet, random, durationMs }: FaultContext): Promise<void> {
  const { process } = pick(fleet.entries, random);
  await process.kill();
  await sleep(durationMs / 2);
  process.start();
}

async function freezeAgent({ fleet, random, durationMs }: FaultContext): Promise<void> {
  const { process } = pick(fleet.agents, random);
  process.signal('SIGSTOP');
  await sleep(durationMs);
  process.signal('SIGCONT');
}

async function storeDown({ fleet, durationMs }: FaultContext): Promise<void> {
  Object.assign(fleet.keyValue.faults, { down: true });
  await sleep(durationMs);
  Object.assign(fleet.keyValue.faults, { down: false });
}

async function storeLosesAnswers({ fleet, durationMs }: FaultContext): Promise<void> {
  Object.assign(fleet.keyValue.faults, { loseAnswers: 0.3 });
  await sleep(durationMs);
  Object.assign(fleet.keyValue.faults, { loseAnswers: 0 });
}

async function storeSlow({ fleet, durationMs }: FaultContext): Promise<void> {
  Object.assign(fleet.keyValue.faults, { delayMs: 700 });
  await sleep(durationMs);
  Object.assign(fleet.keyValue.faults, { delayMs: 0 });
}

async function takeOut({ fleet, random, history, durationMs }: FaultContext): Promise<void> {
  const { name } = pick(fleet.shape.dataCentres, random);
  const response = await fleet.admin('POST', `data-centres/${name}/take-out`, { reason: 'fault' });
  if (response.status !== 200) return;
  const from = Date.now() + propagationMs;
  await sleep(propagationMs + durationMs);
  history.takeOutPeriods.push({ dataCentre: name, from, until: Date.now() });
  let status = 0;
  while (status !== 200) {
    const returned = await fleet.admin('POST', `data-centres/${name}/return`, { reason: 'fault' });
    status = returned.status;
  }
}

async function rollOut({ fleet, history, durationMs }: FaultContext): Promise<void> {
  const version = `v${history.faults.length + 2}`;
  await fleet.rollOut(model, version).catch(() => undefined);
  await sleep(durationMs);
}

async function corruptChunks(context: FaultContext): Promise<void> {
  Object.assign(context.fleet.origin, { corruptNext: 2 });
  await rollOut(context);
}

async function silenceLinks(context: FaultContext): Promise<void> {
  pickEngine(context).relay?.setMode(RelayMode.silentExisting);
  await sleep(context.durationMs);
  pickEngine(context).relay?.setMode(RelayMode.open);
}

async function cutLinks(context: FaultContext): Promise<void> {
  const { relay } = pickEngine(context);
  relay?.setMode(RelayMode.cut);
  await sleep(context.durationMs);
  relay?.setMode(RelayMode.open);
}

async function turnCold(context: FaultContext): Promise<void> {
  pickEngine(context).engine?.turnCold();
  await sleep(context.durationMs);
}

async function crashEngine(context: FaultContext): Promise<void> {
  pickEngine(context).engine?.crash();
  await sleep(context.durationMs);
}

async function crashingRequest({ fleet, random, durationMs }: FaultContext): Promise<void> {
  const caller = new Caller(pick(fleet.entries, random).callerUrl);
  await caller.complete('assistant', `${crashingPrompt} ${random.next()}`).catch(() => undefined);
  await caller.close();
  await sleep(durationMs);
}

/** The required fault kinds that a run combines, by name. */
export const faultActions: Readonly<Record<string, FaultAction>> = {
  killAgent,
  killEntry,
  freezeAgent,
  storeDown,
  storeLosesAnswers,
  storeSlow,
  takeOut,
  rollOut,
  corruptChunks,
  silenceLinks,
  cutLinks,
  turnCold,
  crashEngine,
  crashingRequest,
};

/** Draws two or three different faults that overlap. */
export function chooseFaults(random: Random): string[] {
  const names = Object.keys(faultActions);
  const count = 2 + Math.floor(random.next() * 2);
  const chosen: string[] = [];
  while (chosen.length < count) {
    const name = pick(names, random);
    if (!chosen.includes(name)) chosen.push(name);
  }
  return chosen;
}
