import { setTimeout as sleep } from 'node:timers/promises';
import type { Random } from '@laburnumstream/common';
import { RelayMode } from '@laburnumstream/standins';
import type { Relay } from '@laburnumstream/standins';
import type { SoakEndpoint, SoakEntry, SoakFleet } from './fleet.js';
import { pause } from './pause.js';
import type { SoakProcess } from './process.js';
import { SoakBounds } from './shape.js';

/** What a fault works on. */
export interface SoakFaultContext {
  readonly fleet: SoakFleet;
  readonly random: Random;
  readonly lastsMs: number;
  /** Fires when all faults are to be healed. */
  readonly signal: AbortSignal;
}

/** Causes one fault and heals it. */
export type SoakFault = (context: SoakFaultContext) => Promise<void>;

const longestDelayMs = 200;
const slowStoreMs = 700;
const lossShare = 0.3;
const misbehavingShare = 0.4;
const corruptShare = 0.2;
const longestDownMs = 2_500;
const seriesGapMs = 400;
/** Time beyond the bound in which requests may reach an engine that leaves, on a loaded machine. */
const drainSlackMs = 500;

function pick<Item>(items: readonly Item[], random: Random): Item {
  return items[Math.floor(random.next() * items.length)]!;
}

function pickEntry({ fleet, random }: SoakFaultContext): SoakEntry {
  return pick(fleet.entries, random);
}

function pickEndpoint({ fleet, random }: SoakFaultContext): SoakEndpoint {
  return pick(fleet.endpoints, random);
}

function pickAgent({ fleet, random }: SoakFaultContext): SoakProcess {
  return pick(
    fleet.endpoints.flatMap(({ process }) => process ?? []),
    random,
  );
}

/** Marks what a fault disturbs until it is healed. */
async function disturbing(
  { fleet }: SoakFaultContext,
  names: readonly string[],
  work: () => Promise<void>,
): Promise<void> {
  const end = fleet.history.disturb(names);
  try {
    await work();
  } finally {
    end();
  }
}

type Pick = (context: SoakFaultContext) => SoakProcess;
const entryProcess: Pick = (context) => pickEntry(context).process;

/** Ends a process in some way, and starts it again after a while. */
function ends(choose: Pick, how: (process: SoakProcess) => Promise<void>): SoakFault {
  return (context) => {
    const process = choose(context);
    return disturbing(context, [process.name], () =>
      process.exclusively(async () => {
        await how(process);
        await pause(context.random.next() * context.lastsMs, context.signal);
        await process.start();
      }),
    );
  };
}

const kills = (choose: Pick): SoakFault => ends(choose, (process) => process.kill());
const stops = (choose: Pick): SoakFault => ends(choose, (process) => process.stop());

/** Kills a process that has been asked to stop. */
const stopsAndKills = (choose: Pick): SoakFault =>
  ends(choose, async (process) => {
    const stopped = process.stop();
    await sleep(seriesGapMs);
    await process.kill();
    await stopped;
  });

function pauses(choose: Pick): SoakFault {
  return (context) => {
    const process = choose(context);
    return disturbing(context, [process.name], async () => {
      process.pause();
      await pause(context.lastsMs, context.signal);
      process.resume();
    });
  };
}

/** Pauses a process several times, shortly after each other. */
function stutters(choose: Pick): SoakFault {
  return async (context) => {
    const { lastsMs, signal, random } = context;
    const process = choose(context);
    await disturbing(context, [process.name], async () => {
      for (let left = lastsMs; left > 0 && !signal.aborted; left -= 2 * seriesGapMs) {
        process.pause();
        await pause(random.next() * seriesGapMs, signal);
        process.resume();
        await pause(random.next() * seriesGapMs, signal);
      }
    });
  };
}

async function treat(relay: Relay, mode: RelayMode, context: SoakFaultContext): Promise<void> {
  relay.set(mode);
  await pause(context.lastsMs, context.signal);
  relay.set(RelayMode.open);
  // What was silenced or has lost bytes is not usable any more.
  if (mode !== RelayMode.silentOld) relay.reset();
}

function endpointLink(mode: RelayMode): SoakFault {
  return (context) => {
    const { engine, relay } = pickEndpoint(context);
    return disturbing(context, [engine.name], () => treat(relay, mode, context));
  };
}

function storeLink(mode: RelayMode): SoakFault {
  return (context) => {
    const { name, store } = pickEntry(context);
    return disturbing(context, [name], () => treat(store, mode, context));
  };
}

async function delays(relay: Relay, { random, lastsMs, signal }: SoakFaultContext): Promise<void> {
  Object.assign(relay, { delayMs: random.next() * longestDelayMs });
  await pause(lastsMs, signal);
  Object.assign(relay, { delayMs: 0 });
  relay.reset();
}

async function resets(relay: Relay, { random, lastsMs, signal }: SoakFaultContext): Promise<void> {
  for (let left = lastsMs; left > 0 && !signal.aborted; left -= seriesGapMs) {
    relay.reset();
    await pause(random.next() * seriesGapMs, signal);
  }
}

function onEndpoint(work: (relay: Relay, context: SoakFaultContext) => Promise<void>): SoakFault {
  return (context) => {
    const { engine, relay } = pickEndpoint(context);
    return disturbing(context, [engine.name], () => work(relay, context));
  };
}

function onStoreLink(work: (relay: Relay, context: SoakFaultContext) => Promise<void>): SoakFault {
  return (context) => {
    const { name, store } = pickEntry(context);
    return disturbing(context, [name], () => work(store, context));
  };
}

/** Changes a field of the store for a while. */
function onStore(during: object, after: object): SoakFault {
  return (context) =>
    disturbing(context, ['store'], async () => {
      Object.assign(context.fleet.store, during);
      await pause(context.lastsMs, context.signal);
      Object.assign(context.fleet.store, after);
    });
}

async function storeLosesAnswers(context: SoakFaultContext): Promise<void> {
  const losesAnswer = (): boolean => context.random.next() < lossShare;
  await onStore({ losesAnswer }, { losesAnswer: () => false })(context);
}

async function storeForgets(context: SoakFaultContext): Promise<void> {
  await disturbing(context, ['store'], async () => {
    context.fleet.store.compact();
    await pause(seriesGapMs, context.signal);
  });
}

async function engineMisbehaves(context: SoakFaultContext): Promise<void> {
  const { engine } = pickEndpoint(context);
  await disturbing(context, [engine.name], async () => {
    engine.misbehaves = misbehavingShare;
    await pause(context.lastsMs, context.signal);
    engine.misbehaves = 0;
  });
}

async function engineSilent(context: SoakFaultContext): Promise<void> {
  const { engine } = pickEndpoint(context);
  await disturbing(context, [engine.name], async () => {
    engine.isSilent = true;
    await pause(context.lastsMs, context.signal);
    engine.isSilent = false;
  });
}

async function engineCrashes(context: SoakFaultContext): Promise<void> {
  const { engine } = pickEndpoint(context);
  engine.crash();
  await pause(context.lastsMs, context.signal);
}

/** An engine says that it leaves, serves on for its time and comes back as another one. */
async function engineLeaves(context: SoakFaultContext): Promise<void> {
  const { fleet, signal, random, lastsMs } = context;
  const endpoint = pickEndpoint(context);
  const { engine } = endpoint;
  if (engine.isDraining || engine.isDown) return;
  engine.isDraining = true;
  const says = random.next() < 0.5;
  if (says) fleet.register(endpoint);
  else fleet.unregister(endpoint);
  engine.goneAt = fleet.history.now() + SoakBounds.drainMs + drainSlackMs;
  await pause(SoakBounds.drainMs + drainSlackMs + lastsMs, signal);
  engine.crash();
}

async function keysChange({ fleet, lastsMs, signal }: SoakFaultContext): Promise<void> {
  fleet.rotateKeys();
  await pause(lastsMs, signal);
}

async function versionNamed({ fleet, lastsMs, signal }: SoakFaultContext): Promise<void> {
  fleet.nameVersion(fleet.namedVersion + 1);
  await pause(lastsMs, signal);
}

async function originCorrupts({ fleet, lastsMs, signal }: SoakFaultContext): Promise<void> {
  fleet.setCorruption(corruptShare);
  fleet.nameVersion(fleet.namedVersion + 1);
  await pause(lastsMs, signal);
  fleet.setCorruption(0);
}

const routesAdded = 40;

/** Many configurations shortly after each other, each with more routes. */
async function configurationGrows({ fleet, lastsMs, signal }: SoakFaultContext): Promise<void> {
  const steps = Math.ceil(lastsMs / seriesGapMs);
  for (let step = 1; step <= steps && !signal.aborted; step += 1) {
    const routes = Array.from({ length: step * routesAdded }, (_, place) => ({
      name: `more${place}`,
      kind: 'safe' as const,
      service: 'desk',
      timeoutMs: 2_000,
      isResumable: false,
    }));
    fleet.setExtraRoutes(routes);
    await pause(seriesGapMs, signal);
  }
  fleet.setExtraRoutes([]);
}

/** Registrations of other writers that name no engine. */
async function strangeRegistrations({ fleet, lastsMs, signal }: SoakFaultContext): Promise<void> {
  fleet.store.write('servers/strange-1', { Service: 'desk', Address: 7 });
  fleet.store.write('servers/strange-2', { State: 'ready', born: 'never' });
  await pause(lastsMs, signal);
  fleet.store.remove('servers/strange-1');
  fleet.store.remove('servers/strange-2');
}

/** The faults that a soak combines, by name. */
export const soakFaults: Readonly<Record<string, SoakFault>> = {
  killEntry: kills(entryProcess),
  stopEntry: stops(entryProcess),
  stopAndKillEntry: stopsAndKills(entryProcess),
  pauseEntry: pauses(entryProcess),
  stutterEntry: stutters(entryProcess),
  killAgent: kills(pickAgent),
  stopAgent: stops(pickAgent),
  pauseAgent: pauses(pickAgent),
  linkDelayed: onEndpoint(delays),
  linkReset: onEndpoint(resets),
  linkCut: endpointLink(RelayMode.cut),
  linkRefused: endpointLink(RelayMode.refused),
  linkSilent: endpointLink(RelayMode.silent),
  oldLinksSilent: endpointLink(RelayMode.silentOld),
  answersLost: endpointLink(RelayMode.answersLost),
  requestsLost: endpointLink(RelayMode.requestsLost),
  answersCutShort: endpointLink(RelayMode.cutShort),
  storeLinkDelayed: onStoreLink(delays),
  storeLinkReset: onStoreLink(resets),
  storeLinkCut: storeLink(RelayMode.cut),
  storeLinkRefused: storeLink(RelayMode.refused),
  storeLinkSilent: storeLink(RelayMode.silent),
  storeAnswersLost: storeLink(RelayMode.answersLost),
  storeAway: onStore({ refusal: 503 }, { refusal: undefined }),
  storeSilent: onStore({ isSilent: true }, { isSilent: false }),
  storeSlow: onStore({ delayMs: slowStoreMs }, { delayMs: 0 }),
  storeLosesAnswers,
  storeForgets,
  engineMisbehaves,
  engineSilent,
  engineCrashes,
  engineLeaves,
  keysChange,
  versionNamed,
  originCorrupts,
  configurationGrows,
  strangeRegistrations,
};

/** Brings engines back that are down, each after a while. */
export async function reviveEngines(
  fleet: SoakFleet,
  random: Random,
  signal: AbortSignal,
): Promise<void> {
  const reviving = new Set<SoakEndpoint>();
  const revive = async (endpoint: SoakEndpoint): Promise<void> => {
    reviving.add(endpoint);
    await pause(random.next() * longestDownMs, signal);
    fleet.unregister(endpoint);
    endpoint.engine.restart();
    reviving.delete(endpoint);
  };
  while (!signal.aborted) {
    fleet.endpoints
      .filter((endpoint) => endpoint.engine.isDown && !reviving.has(endpoint))
      .forEach((endpoint) => void revive(endpoint));
    await pause(seriesGapMs, signal);
  }
}
