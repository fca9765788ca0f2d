import { RelayMode } from '@laburnumstream/standins';
import { harmOf } from '../history.js';
import { pause } from '../pause.js';
import { SoakBounds } from '../shape.js';
import { disturbing, pickEntry, seriesGapMs } from './fault.js';
import type { SoakFault, SoakFaultContext } from './fault.js';

const corruptShare = 0.2;

async function keysChange({ fleet, lastsMs, signal }: SoakFaultContext): Promise<void> {
  fleet.rotateKeys();
  await pause(lastsMs, signal);
}

/** Time after its end for which a removed key stays in use at an entry that has not heard of it. */
const unheardMs = 3_000;

/** A key is taken away while an entry is cut off from the store. */
async function keysChangeUnheard(context: SoakFaultContext): Promise<void> {
  const { fleet, signal } = context;
  const { name, store } = pickEntry(context);
  await disturbing(context, [name], async () => {
    store.set(RelayMode.silent);
    fleet.rotateKeys();
    await pause(SoakBounds.revocationMs + unheardMs, signal);
    store.set(RelayMode.open);
    store.reset();
  });
}

/** A key is taken away while an entry stands still. */
async function keysChangeAsleep(context: SoakFaultContext): Promise<void> {
  const { fleet, signal } = context;
  const { name, process } = pickEntry(context);
  await disturbing(context, [name, harmOf(name)], async () => {
    process.pause();
    fleet.rotateKeys();
    await pause(SoakBounds.revocationMs + unheardMs, signal);
    process.resume();
  });
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

/** What operators change, by name. */
export const changes: Readonly<Record<string, SoakFault>> = {
  keysChange,
  keysChangeUnheard,
  keysChangeAsleep,
  versionNamed,
  originCorrupts,
  configurationGrows,
  strangeRegistrations,
};
