import type { Random } from '@laburnumstream/common';
import type { SoakEndpoint, SoakFleet } from '../fleet.js';
import { interruptibleSleep } from '../interruptibleSleep.js';
import { SoakBounds } from '../shape.js';
import { withFault, pickEndpoint, stepIntervalMs } from './fault.js';
import type { SoakFault, SoakFaultContext } from './fault.js';

const misbehaviourShare = 0.4;
const maxDownMs = 2_500;
/** Time beyond the drain bound that a loaded machine may need, in milliseconds. */
const drainMarginMs = 500;

async function engineMisbehaves(context: SoakFaultContext): Promise<void> {
  const { engine } = pickEndpoint(context);
  await withFault(context, [engine.name], async () => {
    engine.misbehaviourShare = misbehaviourShare;
    await interruptibleSleep(context.durationMs, context.signal);
    engine.misbehaviourShare = 0;
  });
}

async function engineSilent(context: SoakFaultContext): Promise<void> {
  const { engine } = pickEndpoint(context);
  await withFault(context, [engine.name], async () => {
    engine.isSilent = true;
    await interruptibleSleep(context.durationMs, context.signal);
    engine.isSilent = false;
  });
}

async function engineCrashes(context: SoakFaultContext): Promise<void> {
  const { engine } = pickEndpoint(context);
  engine.crash();
  await interruptibleSleep(context.durationMs, context.signal);
}

/** Drains an engine and crashes it after the drain bound; it restarts under a new id. */
async function engineLeaves(context: SoakFaultContext): Promise<void> {
  const { fleet, signal, random, durationMs } = context;
  const endpoint = pickEndpoint(context);
  const { engine } = endpoint;
  if (engine.isDraining || engine.isDown) return;
  engine.isDraining = true;
  const staysRegistered = random.next() < 0.5;
  if (staysRegistered) fleet.register(endpoint);
  else fleet.unregister(endpoint);
  engine.drainedAt = fleet.history.now() + SoakBounds.drainMs + drainMarginMs;
  await interruptibleSleep(SoakBounds.drainMs + drainMarginMs + durationMs, signal);
  engine.crash();
}

/** Engine faults, by name. */
export const engineFaults: Readonly<Record<string, SoakFault>> = {
  engineMisbehaves,
  engineSilent,
  engineCrashes,
  engineLeaves,
};

/** Restarts engines that are down, each after a random delay, until the signal fires. */
export async function restartEngines(
  fleet: SoakFleet,
  random: Random,
  signal: AbortSignal,
): Promise<void> {
  const restarting = new Set<SoakEndpoint>();
  const restart = async (endpoint: SoakEndpoint): Promise<void> => {
    restarting.add(endpoint);
    await interruptibleSleep(random.next() * maxDownMs, signal);
    fleet.unregister(endpoint);
    endpoint.engine.restart();
    restarting.delete(endpoint);
  };
  while (!signal.aborted) {
    fleet.endpoints
      .filter((endpoint) => endpoint.engine.isDown && !restarting.has(endpoint))
      .forEach((endpoint) => void restart(endpoint));
    await interruptibleSleep(stepIntervalMs, signal);
  }
}
