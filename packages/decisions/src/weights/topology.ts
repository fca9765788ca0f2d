import { hash32 } from '@laburnumstream/common';
import { MemberOrder } from './memberOrder.js';
import type { WeightMember } from './weightMember.js';

/** Members of one data centre, ordered by a hash of the version's digest and the member's name. */
export interface DataCentreGroup {
  readonly dataCentre: string;
  readonly region: string;
  readonly members: readonly WeightMember[];
  /** Their order for each chunk. */
  readonly order: MemberOrder;
}

function compareByHash(key: string): (a: string, b: string) => number {
  return (a, b) => hash32(`${key}\n${a}`) - hash32(`${key}\n${b}`) || (a < b ? -1 : 1);
}

/**
 * One member's view of the participants in the transfer of a version. Built once per member list.
 */
export class Topology {
  readonly groups: readonly DataCentreGroup[];

  private readonly groupIndexes = new Map<string, number>();

  private readonly regions: readonly string[];

  constructor(
    digest: string,
    members: readonly WeightMember[],
    readonly originRegion: string,
  ) {
    const compare = compareByHash(digest);
    const byDataCentre = new Map<string, WeightMember[]>();
    members.forEach((member) => {
      const group = byDataCentre.get(member.dataCentre);
      if (group) group.push(member);
      else byDataCentre.set(member.dataCentre, [member]);
    });
    const names = [...byDataCentre.keys()].sort(compare);
    this.groups = names.map((dataCentre) => {
      const sorted = Topology.sortMembers(digest, byDataCentre.get(dataCentre)!);
      const order = new MemberOrder(digest, sorted);
      return { dataCentre, region: sorted[0]!.region, members: sorted, order };
    });
    this.groups.forEach((group, index) => {
      group.members.forEach(({ name }) => this.groupIndexes.set(name, index));
    });
    const others = [...new Set(this.groups.map(({ region }) => region))]
      .filter((region) => region !== originRegion)
      .sort(compare);
    this.regions = [originRegion, ...others];
  }

  /** Index of the member's data centre in `groups`; -1 for an unknown member. */
  getGroupIndex(name: string): number {
    return this.groupIndexes.get(name) ?? -1;
  }

  /** Position of a member in its data centre's order for a chunk. */
  getPosition(name: string, chunk: number): number {
    return this.groups[this.getGroupIndex(name)]!.order.getPosition(name, chunk);
  }

  /** The member at a position in a group's order for a chunk; undefined past the end. */
  memberAt(group: number, position: number, chunk: number): WeightMember | undefined {
    return this.groups[group]!.order.memberAt(position, chunk);
  }

  /** Indexes of `groups` in the order in which a chunk reaches them, the origin's region first. */
  dataCentreOrder(chunk: number): number[] {
    const [first = '', ...others] = this.regions;
    const remote = others.map((_, index) => others[(index + chunk) % others.length]!);
    return [first, ...remote].flatMap((region) => this.groupsInRegion(region, chunk));
  }

  private groupsInRegion(region: string, chunk: number): number[] {
    const indexes = this.groups.flatMap((group, index) => (group.region === region ? [index] : []));
    return indexes.map((_, offset) => indexes[(offset + chunk) % indexes.length]!);
  }

  private static sortMembers(digest: string, members: readonly WeightMember[]): WeightMember[] {
    return members
      .map((member) => ({ member, weight: hash32(`${digest}\n${member.name}`) }))
      .sort((a, b) => a.weight - b.weight || (a.member.name < b.member.name ? -1 : 1))
      .map(({ member }) => member);
  }
}
