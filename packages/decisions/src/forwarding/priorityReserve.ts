import type { PriorityCounts } from './demandWindow.js';

/** Part of the more urgent requests that may be refused or late before places are reserved for them. */
const toleratedShortage = 0.02;
/** Reserved part of the places for each unit of shortage beyond it: all places if half of the requests fail. */
const reservedPerShortage = 2;
/**
 * Time constants of the approach to that part, in milliseconds. The reserve rises within the second in which
 * it has to act, and falls more slowly, so that it does not follow the variations of a second's counts.
 */
const adaptationMs = { rise: 300, fall: 2_000 } as const;
/** Requests without shortage that are added to each priority, to damp small samples. */
const priorRequests = 4;
/** Reserved part below which nothing is reserved. */
const negligiblePart = 0.01;

/** Part of the requests of a priority that were refused or late. */
function getShortage({ placedInTime, placedLate, refused }: PriorityCounts): number {
  return (placedLate + refused) / (placedInTime + placedLate + refused + priorRequests);
}

/**
 * Trunk reservation for the priorities of one service in one region. The part of the places that a
 * priority must leave free rises while more urgent requests are refused or late, and falls afterwards.
 */
export class PriorityReserve {
  /** Reserved part of the places by priority, from 0 to 1. */
  private readonly parts = new Map<number, number>();

  private updatedAt: number | undefined;

  /** Adapts the reserve to the demand of the last second. */
  update(counts: readonly PriorityCounts[], now: number): void {
    const elapsedMs = now - (this.updatedAt ?? now);
    this.updatedAt = now;
    const shortages = new Map(counts.map((each) => [each.priority, getShortage(each)]));
    counts.forEach(({ priority }) => this.parts.set(priority, this.parts.get(priority) ?? 0));
    this.parts.forEach((part, priority) => {
      const moreUrgent = [...shortages].filter(([other]) => other < priority);
      const shortage = Math.max(0, ...moreUrgent.map(([, value]) => value));
      const next = PriorityReserve.step(part, shortage, elapsedMs);
      if (next === 0 && !shortages.has(priority)) this.parts.delete(priority);
      else this.parts.set(priority, next);
    });
  }

  /** Part of the places that a priority must leave free, from 0 to 1. */
  partFor(priority: number): number {
    return this.parts.get(priority) ?? 0;
  }

  /** Reserved parts by priority. */
  get all(): ReadonlyMap<number, number> {
    return this.parts;
  }

  private static step(part: number, shortage: number, elapsedMs: number): number {
    const excess = Math.max(0, shortage - toleratedShortage);
    const target = Math.min(1, reservedPerShortage * excess);
    const timeMs = target > part ? adaptationMs.rise : adaptationMs.fall;
    const next = part + (target - part) * (1 - Math.exp(-elapsedMs / timeMs));
    return next < negligiblePart ? 0 : next;
  }
}

/**
 * Number of places that are reserved at an endpoint. `phase`, from 0 to 1, differs between endpoints and
 * is the same at all entries, so that a part of a place is reserved at a part of the endpoints.
 */
export function reservedPlaces(part: number, places: number, phase: number): number {
  return Math.floor(part * places + phase);
}
