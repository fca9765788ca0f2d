import { RelayMode } from '@laburnumstream/standins';
import { getAbruptFaultName } from '../history.js';
import { interruptibleSleep } from '../interruptibleSleep.js';
import { SoakBounds } from '../shape.js';
import { withFault, pickEntry, stepIntervalMs } from './fault.js';
import type { SoakFault, SoakFaultContext } from './fault.js';

const corruptShare = 0.2;

async function keysChange({ fleet, durationMs, signal }: SoakFaultContext): Promise<void> {
  fleet.rotateKeys();
  await interruptibleSleep(durationMs, signal);
}

/** Time beyond the revocation bound for which an entry stays isolated, in milliseconds. */
const isolationMarginMs = 3_000;

/** Removes a key while an entry cannot reach the store. */
async function keysChangeUnheard(context: SoakFaultContext): Promise<void> {
  const { fleet, signal } = context;
  const { name, storeRelay } = pickEntry(context);
  await withFault(context, [name], async () => {
    storeRelay.setMode(RelayMode.silent);
    fleet.rotateKeys();
    await interruptibleSleep(SoakBounds.revocationMs + isolationMarginMs, signal);
    storeRelay.setMode(RelayMode.open);
    storeRelay.reset();
  });
}

/** Removes a key while an entry is paused. */
async function keysChangeAsleep(context: SoakFaultContext): Promise<void> {
  const { fleet, signal } = context;
  const { name, process } = pickEntry(context);
  await withFault(context, [name, getAbruptFaultName(name)], async () => {
    process.pause();
    fleet.rotateKeys();
    await interruptibleSleep(SoakBounds.revocationMs + isolationMarginMs, signal);
    process.resume();
  });
}

async function versionNamed({ fleet, durationMs, signal }: SoakFaultContext): Promise<void> {
  fleet.setTargetVersion(fleet.targetVersion + 1);
  await interruptibleSleep(durationMs, signal);
}

async function originCorrupts({ fleet, durationMs, signal }: SoakFaultContext): Promise<void> {
  fleet.setCorruptShare(corruptShare);
  fleet.setTargetVersion(fleet.targetVersion + 1);
  await interruptibleSleep(durationMs, signal);
  fleet.setCorruptShare(0);
}

const routesPerStep = 40;

/** Writes configurations in quick succession, each with more routes. */
async function configurationGrows({ fleet, durationMs, signal }: SoakFaultContext): Promise<void> {
  const steps = Math.ceil(durationMs / stepIntervalMs);
  for (let step = 1; step <= steps && !signal.aborted; step += 1) {
    const routes = Array.from({ length: step * routesPerStep }, (_, index) => ({
      name: `more${index}`,
      kind: 'safe' as const,
      service: 'desk',
      timeoutMs: 2_000,
      isResumable: false,
    }));
    fleet.setExtraRoutes(routes);
    await interruptibleSleep(stepIntervalMs, signal);
  }
  fleet.setExtraRoutes([]);
}

/** Writes malformed registrations, as other writers of the store may do. */
async function strangeRegistrations({
  fleet,
  durationMs,
  signal,
}: SoakFaultContext): Promise<void> {
  fleet.store.write('servers/strange-1', { Service: 'desk', Address: 7 });
  fleet.store.write('servers/strange-2', { State: 'ready', born: 'never' });
  await interruptibleSleep(durationMs, signal);
  fleet.store.remove('servers/strange-1');
  fleet.store.remove('servers/strange-2');
}

/** Changes made by operators and other writers of the store, by name. */
export const changes: Readonly<Record<string, SoakFault>> = {
  keysChange,
  keysChangeUnheard,
  keysChangeAsleep,
  versionNamed,
  originCorrupts,
  configurationGrows,
  strangeRegistrations,
};
