/** Demand and places of one region, for one service. */
export interface RegionDemand {
  readonly region: string;
  /** Entries of the region. */
  readonly entries: number;
  /** Requests per second; undefined if no recent report is known. */
  readonly arrived: number | undefined;
  /** Places at usable endpoints of the region. */
  readonly places: number;
}

/** How the room at the endpoints of one region is divided. */
export interface RoomDivision {
  /** Part of the free room for the entries of the region. */
  readonly local: number;
  /** Parts for the entries of each other region. */
  readonly remote: ReadonlyMap<string, number>;
  /** Part of all places that other regions lack; local entries that hold more make room for them. */
  readonly owed: number;
}

/** Limits of the part for other regions: room for short bursts, and what the region's own entries keep. */
const remoteLimits = { min: 0.1, max: 0.9 } as const;
const secondMs = 1_000;
/** Time constant of changes, in milliseconds: demand counted over a second varies by chance. */
const smoothingMs = 700;

/** Fills in unknown demands: entries of those regions are assumed to have as much as the others. */
function completeDemands(regions: readonly RegionDemand[]): Map<string, number> {
  const known = regions.filter(({ arrived }) => arrived !== undefined);
  const arrived = known.reduce((sum, each) => sum + each.arrived!, 0);
  const entries = known.reduce((sum, each) => sum + each.entries, 0);
  const perEntry = entries === 0 ? 0 : arrived / entries;
  return new Map(regions.map((each) => [each.region, each.arrived ?? each.entries * perEntry]));
}

/** Places that each region has beyond its part of all, by its part of the demand; negative if it lacks some. */
function findSurpluses(regions: readonly RegionDemand[]): Map<string, number> | undefined {
  const demands = completeDemands(regions);
  const demand = [...demands.values()].reduce((sum, each) => sum + each, 0);
  const places = regions.reduce((sum, each) => sum + each.places, 0);
  if (demand === 0 || places === 0) return undefined;
  return new Map(
    regions.map((each) => [
      each.region,
      each.places - (places * demands.get(each.region)!) / demand,
    ]),
  );
}

/**
 * Part of a region's fair number of places that it lacks at its own endpoints, from 0 to 1: 1 for a region
 * without usable endpoints.
 */
export function lackingPart(region: string, regions: readonly RegionDemand[]): number {
  const surplus = findSurpluses(regions)?.get(region) ?? 0;
  const places = regions.find((each) => each.region === region)?.places ?? 0;
  return surplus < 0 ? -surplus / (places - surplus) : 0;
}

/**
 * Divides the room of a region: places belong to regions in proportion to their demand, so a region whose
 * places exceed its part lends the difference to those that lack some. Undefined while there is no demand.
 */
export function divideRoom(
  target: string,
  regions: readonly RegionDemand[],
): RoomDivision | undefined {
  const surpluses = findSurpluses(regions);
  const own = regions.find(({ region }) => region === target);
  if (!surpluses || !own || own.places === 0) return undefined;
  const others = regions.filter(({ region, entries }) => region !== target && entries > 0);
  if (others.length === 0) return { local: 1, remote: new Map(), owed: 0 };
  const lacking = others.map(({ region }) => Math.max(0, -surpluses.get(region)!));
  const lackingSum = lacking.reduce((sum, each) => sum + each, 0);
  const { min, max } = own.entries === 0 ? { min: 1, max: 1 } : remoteLimits;
  const lent = Math.max(0, surpluses.get(target)!) / own.places;
  const owed = lackingSum === 0 ? 0 : Math.min(max, lent);
  const burst = Math.max(min, owed) - owed;
  const entries = others.reduce((sum, each) => sum + each.entries, 0);
  const remote = others.map((each, index): [string, number] => [
    each.region,
    (owed === 0 ? 0 : (owed * lacking[index]!) / lackingSum) + (burst * each.entries) / entries,
  ]);
  return { local: 1 - owed - burst, remote: new Map(remote), owed };
}

function mix(before: number, after: number, weight: number): number {
  return before + (after - before) * weight;
}

/** The division of one region's room over time, without the variations of short samples. */
export class SmoothedDivision {
  private current: RoomDivision | undefined;

  private updatedAt = 0;

  /** Moves towards a division; returns the one that applies, undefined if there is none. */
  update(next: RoomDivision | undefined, now: number): RoomDivision | undefined {
    const before = this.current;
    const elapsedMs = Math.min(secondMs, now - this.updatedAt);
    this.updatedAt = now;
    if (!next || !before) {
      this.current = next;
      return next;
    }
    const weight = 1 - Math.exp(-elapsedMs / smoothingMs);
    const remote = [...next.remote].map(([region, part]): [string, number] => [
      region,
      mix(before.remote.get(region) ?? 0, part, weight),
    ]);
    const local = 1 - remote.reduce((sum, [, part]) => sum + part, 0);
    const owed = mix(before.owed, next.owed, weight);
    this.current = { local, remote: new Map(remote), owed };
    return this.current;
  }

  get value(): RoomDivision | undefined {
    return this.current;
  }
}
