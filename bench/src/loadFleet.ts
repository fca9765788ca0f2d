import { setTimeout as sleep } from 'node:timers/promises';
import { Caller } from './caller.js';
import type { CompletionResult } from './caller.js';
import { Fleet } from './fleet.js';
import type { FleetOptions } from './fleet.js';
import type { FleetShape } from './fleetShape.js';

const secondMs = 1_000;
const service = 'assistant';

/** One data centre with two entries and two engines. */
const shape: FleetShape = {
  dataCentres: [{ name: 'north-a', region: 'north', entries: 2 }],
  services: [{ name: service, kind: 'engine', endpoints: [2] }],
  originRegion: 'north',
};

/** Engines with this behaviour serve `capacity / requestSeconds` one-unit requests per second. */
export const loadEngine = { capacity: 16, coldCapacity: 4, prefillMs: 100, tokenMs: 10 };
/** Output tokens of each request under load. */
export const loadTokens = 30;
const requestMs = loadEngine.prefillMs + (loadTokens - 1) * loadEngine.tokenMs;

/** Requests per second that the engines of a load fleet can serve. */
export const loadCapacity = ((2 * loadEngine.capacity) / requestMs) * secondMs;

/** Starts a load fleet and sends load until its admission limits have grown. */
export async function startLoadFleet(options: FleetOptions = {}): Promise<Fleet> {
  const fleet = await Fleet.start(shape, { engine: loadEngine, logLevel: 'warn', ...options });
  const warmUp = { stop: false };
  const load = offerLoad(fleet, 'workspace-9', loadCapacity * 2, warmUp);
  await fleet.waitUntil(
    () => fleet.agents.every(({ engine }) => engine!.runningUnits >= loadEngine.capacity - 2),
    'the admission limits have grown',
  );
  warmUp.stop = true;
  await load;
  return fleet;
}

/** The result of a request whose connection broke. */
const brokenCompletion: CompletionResult = {
  status: 0,
  tokens: [],
  ended: false,
  firstTokenMs: 0,
  totalMs: 0,
};

/** The result of one completion, and when it was sent. */
export interface TimedCompletion extends CompletionResult {
  readonly sentAt: number;
}

/** Sends requests of one workspace at a constant rate to all entries in turn until `until.stop`. */
export async function offerLoad(
  fleet: Fleet,
  workspace: string,
  perSecond: number,
  until: { readonly stop: boolean },
): Promise<TimedCompletion[]> {
  const callers = fleet.entries.map(
    (entry) => new Caller(entry.callerUrl, `token-of-${workspace}`),
  );
  const started = performance.now();
  const running: Promise<TimedCompletion>[] = [];
  for (let index = 0; !until.stop; index += 1) {
    const due = started + (index / perSecond) * secondMs;
    const wait = due - performance.now();
    if (wait > 1) await sleep(wait);
    const sentAt = performance.now();
    const prompt = `${workspace} ${index}`;
    const response = callers[index % callers.length]!.complete(service, prompt, {
      maxTokens: loadTokens,
    });
    running.push(response.catch(() => brokenCompletion).then((result) => ({ ...result, sentAt })));
  }
  const results = await Promise.all(running);
  await Promise.all(callers.map((caller) => caller.close()));
  return results;
}

/** Offers the load of several workspaces simultaneously for a time. */
export async function offerLoads(
  fleet: Fleet,
  rates: Readonly<Record<string, number>>,
  seconds: number,
): Promise<Readonly<Record<string, TimedCompletion[]>>> {
  const until = { stop: false };
  const loads = Object.entries(rates).map(
    async ([workspace, perSecond]) =>
      [workspace, await offerLoad(fleet, workspace, perSecond, until)] as const,
  );
  await sleep(seconds * secondMs);
  until.stop = true;
  return Object.fromEntries(await Promise.all(loads));
}
