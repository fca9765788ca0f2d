import { setTimeout as sleep } from 'node:timers/promises';
import type { CrashFleet } from './crashFleet.js';

const lostAnswersEvery = 3;

/** What happens to the entries of a fleet and to the store, by name. */
export const troubles: Readonly<Record<string, (fleet: CrashFleet) => Promise<void>>> = {
  'nothing else happens': async () => undefined,
  'the entries restart in turn': async (fleet) => {
    await sleep(4_000);
    for (const entry of fleet.entries) {
      await fleet.restartEntry(entry);
      await sleep(700);
    }
  },
  'an entry is replaced': async (fleet) => {
    await sleep(4_000);
    await fleet.replaceEntry();
  },
  'all entries are killed at once': async (fleet) => {
    await sleep(4_000);
    await fleet.restartAllEntries();
  },
  'an entry is cut from the store': async (fleet) => {
    await sleep(100);
    fleet.setStorePath(fleet.entries[0]!, false);
    await sleep(6_000);
    fleet.setStorePath(fleet.entries[0]!, true);
  },
  'the store is away': async (fleet) => {
    await sleep(100);
    fleet.setStoreSilent(true);
    await sleep(3_900);
    fleet.setStoreSilent(false);
  },
  'the store is away, and then all entries are killed at once': async (fleet) => {
    await sleep(100);
    fleet.setStoreSilent(true);
    await sleep(3_900);
    fleet.setStoreSilent(false);
    await sleep(1_500);
    await fleet.restartAllEntries();
  },
  'the store loses answers, and all entries are killed at once': async (fleet) => {
    fleet.loseStoreResponses(lostAnswersEvery);
    await sleep(4_000);
    await fleet.restartAllEntries();
  },
};
