import { rendezvousOrder } from '@laburnumstream/common';
import type { WeightMember } from './weightMember.js';

/** Step of a low-discrepancy sequence that spreads consecutive chunks evenly over the regions. */
const goldenRatioFraction = 0.618_033_988_749_894_9;

/** Members of one region. */
interface Region {
  readonly name: string;
  readonly members: readonly WeightMember[];
}

const getName = ({ name }: WeightMember): string => name;

/**
 * Assigns each chunk to the region that receives it first, and to the member of each region that
 * fetches it into that region. Members with the same member list agree without communication.
 */
export class ChunkAssignment {
  private readonly members: readonly WeightMember[];

  private readonly regions: readonly Region[];

  /** This member's rank among the members of its region, for each chunk. */
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
    const local = this.members.filter(({ region }) => region === self.region);
    this.ranks = Array.from({ length: chunks }, (_, chunk) =>
      rendezvousOrder(String(chunk), local, getName).findIndex(({ name }) => name === self.name),
    );
  }

  /**
   * This member's rank among the members of its region for fetching a chunk into it: rank 0 fetches
   * first, higher ranks are fallbacks.
   */
  getRank(chunk: number): number {
    return this.ranks[chunk]!;
  }

  /** Whether this member's region receives a chunk first. */
  isFirstRegion(chunk: number): boolean {
    return this.getFirstRegion(chunk).name === this.self.region;
  }

  /** Members of the other regions that fetch a chunk from this region, which receives it first. */
  remoteReceivers(chunk: number): WeightMember[] {
    if (!this.isFirstRegion(chunk)) return [];
    return this.regions
      .filter(({ name }) => name !== this.self.region)
      .map(({ members }) => rendezvousOrder(String(chunk), members, getName)[0]!);
  }

  /** Members of other regions from which this member fetches the wanted chunks. */
  remoteSources(isWanted: (chunk: number) => boolean): WeightMember[] {
    const sources = new Map<string, WeightMember>();
    for (let chunk = 0; chunk < this.chunks; chunk += 1) {
      if (isWanted(chunk) && this.getRank(chunk) === 0 && !this.isFirstRegion(chunk)) {
        const [first] = rendezvousOrder(String(chunk), this.getFirstRegion(chunk).members, getName);
        if (first) sources.set(first.name, first);
      }
    }
    return [...sources.values()];
  }

  /** The region that receives a chunk first; its share of chunks is proportional to its members. */
  private getFirstRegion(chunk: number): Region {
    let offset = (((chunk + 1) * goldenRatioFraction) % 1) * this.members.length;
    const first = this.regions.find(({ members }) => {
      offset -= members.length;
      return offset < 0;
    });
    return first ?? this.regions[0]!;
  }
}
