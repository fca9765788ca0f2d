import { rendezvousOrder } from '@laburnumstream/common';
import type { Random } from '@laburnumstream/common';

/** Entries of a data centre that watch the store. */
export const watchersPerDataCentre = 2;
/** Entries of a data centre that may come to watch the store while others cannot reach it. */
export const maxWatchers = 4;
/** Entries of a data centre that check those before them in the order of watchers. */
const lineLength = 6;
/** Most members that one entry checks in each round. */
const mostChecked = 12;
/** Entries that one entry tells of a new revision. */
const fanOut = 4;
/** Peers that an entry without a configuration asks at once. */
const newcomerPeers = 3;

/** Times of the spread, in milliseconds. */
export interface GossipTimeouts {
  /** How long a peer that did not answer is left out. */
  readonly suspectMs: number;
  /** Silence of the store after which other entries watch it, too. */
  readonly silenceMs: number;
}

/** An entry as the spread sees it. */
export interface GossipMember {
  readonly name: string;
  readonly dataCentre: string;
}

function nameOf({ name }: GossipMember): string {
  return name;
}

/** Picks up to `count` different members. */
function pick(members: readonly GossipMember[], count: number, random: Random): GossipMember[] {
  const left = [...members];
  const picked: GossipMember[] = [];
  while (picked.length < count && left.length > 0) {
    picked.push(...left.splice(Math.floor(random.next() * left.length), 1));
  }
  return picked;
}

/** The forest has `fanOut` roots; each member has `fanOut` children. */
function childrenIn(order: readonly GossipMember[], parent: GossipMember): GossipMember[] {
  const place = order.findIndex(({ name }) => name === parent.name);
  if (place < 0) return [];
  const first = fanOut * (place + 1);
  return order.slice(first, first + fanOut);
}

/**
 * Decides for one entry whether it watches the store, whom it asks for newer revisions and whom it
 * tells of them. Views of members may differ between entries: that costs calls, never correctness.
 */
export class GossipTopology {
  private members: readonly GossipMember[] = [];

  private neighbours: readonly GossipMember[];

  private others: readonly GossipMember[] = [];

  private line: readonly GossipMember[];

  private readonly suspectedAt = new Map<string, number>();

  /** Latest time at which a peer was known to reach the store. */
  private readonly reachedAt = new Map<string, number>();

  private ownReachedAt: number;

  constructor(
    private readonly self: GossipMember,
    private readonly times: GossipTimeouts,
    private readonly random: Random,
    nowMs: number,
  ) {
    this.neighbours = [self];
    this.line = [self];
    this.ownReachedAt = nowMs;
  }

  /** Takes the known entries of all data centres; this one counts even when it is not listed. */
  setMembers(members: readonly GossipMember[]): void {
    if (members === this.members) return;
    this.members = members;
    const { self } = this;
    const isNeighbour = ({ dataCentre, name }: GossipMember): boolean =>
      dataCentre === self.dataCentre && name !== self.name;
    this.neighbours = [self, ...members.filter(isNeighbour)];
    this.others = members.filter(({ dataCentre }) => dataCentre !== self.dataCentre);
    this.line = rendezvousOrder(`watch/${self.dataCentre}`, this.neighbours, nameOf);
  }

  /** A peer answered and told for how long the store has been silent to it. */
  recordResponse({ name, dataCentre }: GossipMember, silenceMs: number, nowMs: number): void {
    this.suspectedAt.delete(name);
    if (dataCentre === this.self.dataCentre) this.reachedAt.set(name, nowMs - silenceMs);
  }

  /** A peer did not answer. */
  recordFailure({ name }: GossipMember, nowMs: number): void {
    this.suspectedAt.set(name, nowMs);
  }

  /** This entry reached the store. */
  recordStoreContact(nowMs: number): void {
    this.ownReachedAt = nowMs;
  }

  /** Time since this entry reached the store, in milliseconds. */
  silenceMs(nowMs: number): number {
    return nowMs - this.ownReachedAt;
  }

  /** Whether this entry is to watch the store. */
  shouldWatch(nowMs: number): boolean {
    const alive = this.line.filter((member) => !this.isSuspected(member, nowMs));
    const place = alive.findIndex(({ name }) => name === this.self.name);
    const working = alive.slice(0, place).filter(({ name }) => !this.isSilent(name, nowMs));
    return place < maxWatchers && working.length < watchersPerDataCentre;
  }

  /** The peers to compare revisions with in one round. */
  selectPeers(isNewcomer: boolean, nowMs: number): GossipMember[] {
    const before = this.checked(nowMs);
    const rest = this.neighbours.filter(
      (member) => member !== this.self && !before.includes(member),
    );
    const asked = pick(rest, isNewcomer ? newcomerPeers : 1, this.random);
    const crosses = this.shouldWatch(nowMs) || rest.length === 0;
    const remote = crosses ? pick(this.others, 1, this.random) : [];
    const chosen = [...before, ...asked, ...remote];
    return [...new Set(chosen)].filter(({ name }) => name !== this.self.name);
  }

  /** The peers to tell of a revision; one that came from the store is told to the roots, too. */
  notifyTargets(revision: number, isFromStore: boolean): GossipMember[] {
    const order = this.orderOf(revision);
    const roots = isFromStore ? order.slice(0, fanOut) : [];
    const told = [...roots, ...childrenIn(order, this.self)];
    return [...new Set(told)].filter(({ name }) => name !== this.self.name);
  }

  /** The peers that a peer would have told, had it answered. */
  notifyTargetsOf(peer: GossipMember, revision: number): GossipMember[] {
    const children = childrenIn(this.orderOf(revision), peer);
    return children.filter(({ name }) => name !== this.self.name);
  }

  /** The members before this one in the line when it is among the first that live. */
  private checked(nowMs: number): readonly GossipMember[] {
    const place = this.line.findIndex(({ name }) => name === this.self.name);
    const before = this.line.slice(0, place);
    const alive = before.filter((member) => !this.isSuspected(member, nowMs));
    return alive.length < lineLength ? before.slice(0, mostChecked) : [];
  }

  private orderOf(revision: number): GossipMember[] {
    return rendezvousOrder(`revision/${revision}`, this.neighbours, nameOf);
  }

  private isSuspected({ name }: GossipMember, nowMs: number): boolean {
    const at = this.suspectedAt.get(name);
    return at !== undefined && nowMs - at < this.times.suspectMs;
  }

  private isSilent(name: string, nowMs: number): boolean {
    const at = this.reachedAt.get(name);
    return at !== undefined && nowMs - at > this.times.silenceMs;
  }
}
