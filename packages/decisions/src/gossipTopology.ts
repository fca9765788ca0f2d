import { rendezvousOrder } from '@laburnumstream/common';
import type { Random } from '@laburnumstream/common';

/** Number of entries in a data centre that watch the store. */
export const watchersPerDataCentre = 2;
/** Maximum number that may watch it while other watchers can't reach the store. */
export const maxWatchers = 4;
/** Number of first live entries in the watch order that check all entries before them. */
const checkingEntries = 6;
/** Maximum number of members that one entry checks in each round. */
const maxChecked = 12;
/** Number of entries that one entry notifies of a new revision. */
const fanOut = 4;
/** Number of peers that an entry without a configuration asks at once. */
const bootstrapPeers = 3;

/** Timeouts of the configuration gossip, in milliseconds. */
export interface GossipTimeouts {
  /** Time for which a peer is skipped after it failed to respond. */
  readonly suspectMs: number;
  /** Silence of the store at the watchers after which further entries watch it. */
  readonly silenceMs: number;
}

/** An entry that takes part in the gossip. */
export interface GossipMember {
  readonly name: string;
  readonly dataCentre: string;
}

function getName({ name }: GossipMember): string {
  return name;
}

/** Picks up to `count` different members at random. */
function pickRandom(
  members: readonly GossipMember[],
  count: number,
  random: Random,
): GossipMember[] {
  const remaining = [...members];
  const picked: GossipMember[] = [];
  while (picked.length < count && remaining.length > 0) {
    picked.push(...remaining.splice(Math.floor(random.next() * remaining.length), 1));
  }
  return picked;
}

/** Children of a member in a forest with `fanOut` roots and `fanOut` children per member. */
function getChildren(order: readonly GossipMember[], parent: GossipMember): GossipMember[] {
  const index = order.findIndex(({ name }) => name === parent.name);
  if (index < 0) return [];
  const first = fanOut * (index + 1);
  return order.slice(first, first + fanOut);
}

/**
 * Decides for one entry whether it watches the store, which peers it asks for newer revisions and which
 * ones it notifies of them. Entries may have different views of the members: this costs calls but
 * never affects correctness.
 */
export class GossipTopology {
  private members: readonly GossipMember[] = [];

  /** This entry and the other entries of its data centre. */
  private localMembers: readonly GossipMember[];

  private remoteMembers: readonly GossipMember[] = [];

  /** The local members in the order in which they become watchers. */
  private watchOrder: readonly GossipMember[];

  private readonly suspectedAt = new Map<string, number>();

  /** Last time at which each peer is known to have reached the store. */
  private readonly storeContactAt = new Map<string, number>();

  private ownStoreContactAt: number;

  constructor(
    private readonly self: GossipMember,
    private readonly timeouts: GossipTimeouts,
    private readonly random: Random,
    nowMs: number,
  ) {
    this.localMembers = [self];
    this.watchOrder = [self];
    this.ownStoreContactAt = nowMs;
  }

  /** Replaces the known entries of all data centres; this entry is included even if not listed. */
  setMembers(members: readonly GossipMember[]): void {
    if (members === this.members) return;
    this.members = members;
    const { self } = this;
    const isLocalPeer = ({ dataCentre, name }: GossipMember): boolean =>
      dataCentre === self.dataCentre && name !== self.name;
    this.localMembers = [self, ...members.filter(isLocalPeer)];
    this.remoteMembers = members.filter(({ dataCentre }) => dataCentre !== self.dataCentre);
    this.watchOrder = rendezvousOrder(`watch/${self.dataCentre}`, this.localMembers, getName);
  }

  /** Records a peer's response, with the time since the peer reached the store. */
  recordResponse({ name, dataCentre }: GossipMember, silenceMs: number, nowMs: number): void {
    this.suspectedAt.delete(name);
    if (dataCentre === this.self.dataCentre) this.storeContactAt.set(name, nowMs - silenceMs);
  }

  /** Records that a peer failed to respond. */
  recordFailure({ name }: GossipMember, nowMs: number): void {
    this.suspectedAt.set(name, nowMs);
  }

  /** Records that this entry reached the store. */
  recordStoreContact(nowMs: number): void {
    this.ownStoreContactAt = nowMs;
  }

  /** Time since this entry reached the store, in milliseconds. */
  silenceMs(nowMs: number): number {
    return nowMs - this.ownStoreContactAt;
  }

  /** Whether this entry is to watch the store. */
  shouldWatch(nowMs: number): boolean {
    const alive = this.watchOrder.filter((member) => !this.isSuspected(member, nowMs));
    const index = alive.findIndex(({ name }) => name === this.self.name);
    const working = alive.slice(0, index).filter(({ name }) => !this.lacksStore(name, nowMs));
    return index < maxWatchers && working.length < watchersPerDataCentre;
  }

  /** Selects the peers to compare revisions with in one round. */
  selectPeers(isNewcomer: boolean, nowMs: number): GossipMember[] {
    const checked = this.selectChecked(nowMs);
    const rest = this.localMembers.filter(
      (member) => member !== this.self && !checked.includes(member),
    );
    const local = pickRandom(rest, isNewcomer ? bootstrapPeers : 1, this.random);
    const asksRemote = this.shouldWatch(nowMs) || rest.length === 0;
    const remote = asksRemote ? pickRandom(this.remoteMembers, 1, this.random) : [];
    const selected = [...checked, ...local, ...remote];
    return [...new Set(selected)].filter(({ name }) => name !== this.self.name);
  }

  /** The peers to notify of a revision: the children, and the roots if it was read from the store. */
  notifyTargets(revision: number, isFromStore: boolean): GossipMember[] {
    const order = this.revisionOrder(revision);
    const roots = isFromStore ? order.slice(0, fanOut) : [];
    const targets = [...roots, ...getChildren(order, this.self)];
    return [...new Set(targets)].filter(({ name }) => name !== this.self.name);
  }

  /** The peers to notify in place of a peer that failed to respond. */
  notifyTargetsOf(peer: GossipMember, revision: number): GossipMember[] {
    const children = getChildren(this.revisionOrder(revision), peer);
    return children.filter(({ name }) => name !== this.self.name);
  }

  /** The members before this entry in the watch order, if this entry is one of those that check them. */
  private selectChecked(nowMs: number): readonly GossipMember[] {
    const index = this.watchOrder.findIndex(({ name }) => name === this.self.name);
    const before = this.watchOrder.slice(0, index);
    const alive = before.filter((member) => !this.isSuspected(member, nowMs));
    return alive.length < checkingEntries ? before.slice(0, maxChecked) : [];
  }

  private revisionOrder(revision: number): GossipMember[] {
    return rendezvousOrder(`revision/${revision}`, this.localMembers, getName);
  }

  private isSuspected({ name }: GossipMember, nowMs: number): boolean {
    const at = this.suspectedAt.get(name);
    return at !== undefined && nowMs - at < this.timeouts.suspectMs;
  }

  private lacksStore(name: string, nowMs: number): boolean {
    const at = this.storeContactAt.get(name);
    return at !== undefined && nowMs - at > this.timeouts.silenceMs;
  }
}
