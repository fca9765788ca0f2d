import { hash32 } from '@laburnumstream/common';
import type { WeightMember } from './weightMember.js';

/** Number of values of a hash. */
const hashRange = 2 ** 32;
/** Parts of a ring of hashes at whose beginnings it is cut. */
const cutsPerRing = 2;
/** Each cut is used in both directions, by one chunk each. */
const directions = 2;
/** Consecutive chunks that share a ring. */
const chunksPerRing = cutsPerRing * directions;

/** Members in the order of their hashes. */
interface Ring {
  readonly members: readonly WeightMember[];
  readonly ranks: ReadonlyMap<string, number>;
  /** For each cut, the rank of the first member after it. */
  readonly firstRanks: readonly number[];
}

/** How a chunk runs through its ring. */
interface ChunkPath {
  readonly firstRank: number;
  readonly isReversed: boolean;
}

/**
 * The order of a data centre's members for each chunk: by the hash of the member and of a few consecutive chunks, from
 * one of two fixed hashes, forwards or backwards. Which of two members is earlier depends on nothing else, so that
 * members with different lists agree, and following earlier members never leads back. A member that is early for a
 * chunk is late for the next one, so all send equally much.
 */
export class MemberOrder {
  private readonly rings = new Map<number, Ring>();

  constructor(
    private readonly digest: string,
    private readonly members: readonly WeightMember[],
  ) {}

  /** Position of a member, which must be one of the list. */
  getPosition(name: string, chunk: number): number {
    const ring = this.ringOf(chunk);
    const { firstRank, isReversed } = MemberOrder.pathOf(ring, chunk);
    const { length } = this.members;
    const steps = (ring.ranks.get(name)! - firstRank + length) % length;
    return isReversed ? length - 1 - steps : steps;
  }

  /** The member at a position; undefined past the end. */
  memberAt(position: number, chunk: number): WeightMember | undefined {
    const { length } = this.members;
    if (position >= length) return undefined;
    const ring = this.ringOf(chunk);
    const { firstRank, isReversed } = MemberOrder.pathOf(ring, chunk);
    const steps = isReversed ? length - 1 - position : position;
    return ring.members[(firstRank + steps) % length];
  }

  private ringOf(chunk: number): Ring {
    const index = Math.floor(chunk / chunksPerRing);
    const ring = this.rings.get(index) ?? this.createRing(index);
    this.rings.set(index, ring);
    return ring;
  }

  private createRing(index: number): Ring {
    const hashed = this.members
      .map((member) => ({ member, hash: hash32(`${this.digest}\n${index}\n${member.name}`) }))
      .sort((a, b) => a.hash - b.hash || (a.member.name < b.member.name ? -1 : 1));
    const firstRanks = Array.from({ length: cutsPerRing }, (_, cut) => {
      const cutHash = (cut / cutsPerRing) * hashRange;
      return Math.max(
        0,
        hashed.findIndex(({ hash }) => hash >= cutHash),
      );
    });
    const ranks = new Map(hashed.map(({ member }, rank) => [member.name, rank]));
    return { members: hashed.map(({ member }) => member), ranks, firstRanks };
  }

  private static pathOf({ firstRanks }: Ring, chunk: number): ChunkPath {
    const cut = Math.floor(chunk / directions) % cutsPerRing;
    return { firstRank: firstRanks[cut]!, isReversed: chunk % directions === 1 };
  }
}
