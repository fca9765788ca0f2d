import { setTimeout as sleep } from 'node:timers/promises';
import type { Random } from '@laburnumstream/common';
import { RelayMode, crashingPrompt } from '@laburnumstream/standins';
import { Caller } from '../caller.js';
import type { Fleet, FleetAgent } from '../fleet.js';
import type { FaultHistory } from './faultHistory.js';

/** What a fault works on. */
export interface FaultContext {
  readonly fleet: Fleet;
  readonly random: Random;
  readonly history: FaultHistory;
  /** Length of the fault, in milliseconds. */
  readonly lastsMs: number;
}

/** Causes one failure and heals it. */
export type FaultAction = (context: FaultContext) => Promise<void>;

const model = 'assistant-model';
/** Time in which operators' decisions reach every process, in milliseconds. */
const graceMs = 3_000;

function pick<Item>(items: readonly Item[], random: Random): Item {
  return items[Math.floor(random.next() * items.length)]!;
}

function pickEngine({ fleet, random }: FaultContext): FleetAgent {
  return pick(
    fleet.agents.filter(({ engine }) => engine),
    random,
  );
}

async function killAgent({ fleet, random, lastsMs }: FaultContext): Promise<void> {
  const { process } = pick(fleet.agents, random);
  await process.kill();
  await sleep(lastsMs / 2);
  process.start();
}

async function killEntry({ fleet, random, lastsMs }: FaultContext): Promise<void> {
  const { process } = pick(fleet.entries, random);
  await process.kill();
  await sleep(lastsMs / 2);
  process.start();
}

async function freezeAgent({ fleet, random, lastsMs }: FaultContext): Promise<void> {
  const { process } = pick(fleet.agents, random);
  process.signal('SIGSTOP');
  await sleep(lastsMs);
  process.signal('SIGCONT');
}

async function storeDown({ fleet, lastsMs }: FaultContext): Promise<void> {
  Object.assign(fleet.keyValue.faults, { down: true });
  await sleep(lastsMs);
  Object.assign(fleet.keyValue.faults, { down: false });
}

async function storeLosesAnswers({ fleet, lastsMs }: FaultContext): Promise<void> {
  Object.assign(fleet.keyValue.faults, { loseAnswers: 0.3 });
  await sleep(lastsMs);
  Object.assign(fleet.keyValue.faults, { loseAnswers: 0 });
}

async function storeSlow({ fleet, lastsMs }: FaultContext): Promise<void> {
  Object.assign(fleet.keyValue.faults, { delayMs: 700 });
  await sleep(lastsMs);
  Object.assign(fleet.keyValue.faults, { delayMs: 0 });
}

async function takeOut({ fleet, random, history, lastsMs }: FaultContext): Promise<void> {
  const { name } = pick(fleet.shape.centres, random);
  const out = await fleet.admin('POST', `data-centres/${name}/take-out`, { reason: 'fault' });
  if (out.status !== 200) return;
  const from = Date.now() + graceMs;
  await sleep(graceMs + lastsMs);
  history.outings.push({ dataCentre: name, from, until: Date.now() });
  let back = 0;
  while (back !== 200) {
    const answer = await fleet.admin('POST', `data-centres/${name}/return`, { reason: 'fault' });
    back = answer.status;
  }
}

async function rollOut({ fleet, history, lastsMs }: FaultContext): Promise<void> {
  const version = `v${history.faults.length + 2}`;
  await fleet.rollOut(model, version).catch(() => undefined);
  await sleep(lastsMs);
}

async function corruptChunks(context: FaultContext): Promise<void> {
  Object.assign(context.fleet.origin, { corruptNext: 2 });
  await rollOut(context);
}

async function silenceLinks(context: FaultContext): Promise<void> {
  pickEngine(context).relay?.setMode(RelayMode.silentExisting);
  await sleep(context.lastsMs);
  pickEngine(context).relay?.setMode(RelayMode.open);
}

async function cutLinks(context: FaultContext): Promise<void> {
  const { relay } = pickEngine(context);
  relay?.setMode(RelayMode.cut);
  await sleep(context.lastsMs);
  relay?.setMode(RelayMode.open);
}

async function turnCold(context: FaultContext): Promise<void> {
  pickEngine(context).engine?.turnCold();
  await sleep(context.lastsMs);
}

async function crashEngine(context: FaultContext): Promise<void> {
  pickEngine(context).engine?.crash();
  await sleep(context.lastsMs);
}

async function crashingRequest({ fleet, random, lastsMs }: FaultContext): Promise<void> {
  const caller = new Caller(pick(fleet.entries, random).callers);
  await caller.complete('assistant', `${crashingPrompt} ${random.next()}`).catch(() => undefined);
  await caller.close();
  await sleep(lastsMs);
}

/** The failures of the brief that a run combines, by name. */
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

/** Chooses two or three different failures that overlap. */
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
