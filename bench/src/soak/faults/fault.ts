import type { Random } from '@laburnumstream/common';
import type { SoakEndpoint, SoakEntry, SoakFleet } from '../fleet.js';
import type { SoakProcess } from '../process.js';

/** Context of one injected fault. */
export interface SoakFaultContext {
  readonly fleet: SoakFleet;
  readonly random: Random;
  /** How long the fault lasts, in milliseconds. */
  readonly durationMs: number;
  /** Fires when all faults have to be reverted. */
  readonly signal: AbortSignal;
}

/** Injects one fault and reverts it. */
export type SoakFault = (context: SoakFaultContext) => Promise<void>;

/** Interval between the steps of a repeated fault, in milliseconds. */
export const stepIntervalMs = 400;

/** Picks a random item. */
export function pick<Item>(items: readonly Item[], random: Random): Item {
  return items[Math.floor(random.next() * items.length)]!;
}

/** Picks a random entry. */
export function pickEntry({ fleet, random }: SoakFaultContext): SoakEntry {
  return pick(fleet.entries, random);
}

/** Picks a random engine with its relay and agent. */
export function pickEndpoint({ fleet, random }: SoakFaultContext): SoakEndpoint {
  return pick(fleet.endpoints, random);
}

/** Picks a random agent. */
export function pickAgent({ fleet, random }: SoakFaultContext): SoakProcess {
  return pick(
    fleet.endpoints.flatMap(({ process }) => process ?? []),
    random,
  );
}

/** Marks the names as affected by a fault while `work` runs. */
export async function withFault(
  { fleet }: SoakFaultContext,
  names: readonly string[],
  work: () => Promise<void>,
): Promise<void> {
  const endFault = fleet.history.beginFault(names);
  try {
    await work();
  } finally {
    endFault();
  }
}
