import { rendezvousOrder } from '@laburnumstream/common';
import type { WeightMember } from './topology.js';

/** Spreads consecutive numbers evenly over the unit interval. */
const goldenFraction = 0.618_033_988_749_894_9;

/** Members of one region. */
interface Region {
  readonly name: string;
  readonly members: readonly WeightMember[];
}

const nameOf = ({ name }: WeightMember): string => name;

/**
 * Into which region each chunk comes first, and which member brings it there. All members that know
 * the same list agree without asking each other.
 */
export class ChunkRegions {
  private readonly members: readonly WeightMember[];

  private readonly regions: readonly Region[];

  /** Place of this member among those of its region that may bring in each chunk. */
  private readonly ranks: readonly number[];

  constructor(
    private readonly chunks: number,
    private readonly self: WeightMember,
    others: readonly WeightMember[],
  ) {
    this.members = [...others, self];
    const names = [...new Set(this.members.map(({ region }) => region))].sort();
    this.regions = names.map((name) => ({
      name,
      members: this.members.filter(({ region }) => region === name),
    }));
    const near = this.members.filter(({ region }) => region === self.region);
    this.ranks = Array.from({ length: chunks }, (_, chunk) =>
      rendezvousOrder(String(chunk), near, nameOf).findIndex(({ name }) => name === self.name),
    );
  }

  /** This member's place among those of its region that may bring in a chunk; 0 is the first. */
  rank(chunk: number): number {
    return this.ranks[chunk]!;
  }

  /** Whether a chunk comes into this member's region first. */
  isEntry(chunk: number): boolean {
    return this.entryOf(chunk).name === this.self.region;
  }

  /** Members of other regions that wait for a chunk that this region brings in first. */
  waitingElsewhere(chunk: number): WeightMember[] {
    if (!this.isEntry(chunk)) return [];
    return this.regions
      .filter(({ name }) => name !== this.self.region)
      .map(({ members }) => rendezvousOrder(String(chunk), members, nameOf)[0]!);
  }

  /** Members of other regions from which this member brings in the chunks that are wanted. */
  sources(isWanted: (chunk: number) => boolean): WeightMember[] {
    const asked = new Map<string, WeightMember>();
    for (let chunk = 0; chunk < this.chunks; chunk += 1) {
      if (isWanted(chunk) && this.rank(chunk) === 0 && !this.isEntry(chunk)) {
        const [first] = rendezvousOrder(String(chunk), this.entryOf(chunk).members, nameOf);
        if (first) asked.set(first.name, first);
      }
    }
    return [...asked.values()];
  }

  /** The region into which a chunk comes first: regions take turns by their number of members. */
  private entryOf(chunk: number): Region {
    let left = (((chunk + 1) * goldenFraction) % 1) * this.members.length;
    const entry = this.regions.find(({ members }) => {
      left -= members.length;
      return left < 0;
    });
    return entry ?? this.regions[0]!;
  }
}
