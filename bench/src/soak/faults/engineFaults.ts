import type { Random } from '@laburnumstream/common';
import type { SoakEndpoint, SoakFleet } from '../fleet.js';
import { pause } from '../pause.js';
import { SoakBounds } from '../shape.js';
import { disturbing, pickEndpoint, seriesGapMs } from './fault.js';
import type { SoakFault, SoakFaultContext } from './fault.js';

const misbehavingShare = 0.4;
const longestDownMs = 2_500;
/** Time beyond the bound in which requests may reach an engine that leaves, on a loaded machine. */
const drainSlackMs = 500;

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

/** Faults of engines, by name. */
export const engineFaults: Readonly<Record<string, SoakFault>> = {
  engineMisbehaves,
  engineSilent,
  engineCrashes,
  engineLeaves,
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
