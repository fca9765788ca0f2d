import type { Random } from '@laburnumstream/common';
import type { SoakEndpoint, SoakEntry, SoakFleet } from '../fleet.js';
import type { SoakProcess } from '../process.js';

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

/** Time between the steps of a fault that comes in series, in milliseconds. */
export const seriesGapMs = 400;

/** One of several, drawn by chance. */
export function pick<Item>(items: readonly Item[], random: Random): Item {
  return items[Math.floor(random.next() * items.length)]!;
}

/** An entry drawn by chance. */
export function pickEntry({ fleet, random }: SoakFaultContext): SoakEntry {
  return pick(fleet.entries, random);
}

/** An engine drawn by chance, with its link and agent. */
export function pickEndpoint({ fleet, random }: SoakFaultContext): SoakEndpoint {
  return pick(fleet.endpoints, random);
}

/** An agent drawn by chance. */
export function pickAgent({ fleet, random }: SoakFaultContext): SoakProcess {
  return pick(
    fleet.endpoints.flatMap(({ process }) => process ?? []),
    random,
  );
}

/** Marks what a fault disturbs until it is healed. */
export async function disturbing(
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
