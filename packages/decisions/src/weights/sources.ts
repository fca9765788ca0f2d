import { rendezvousOrder } from '@laburnumstream/common';
import type { Topology } from './topology.js';
import type { WeightMember } from './weightMember.js';

/** The member that a chunk is fetched from, or `origin`, the platform's weight store. */
export type WeightSource = WeightMember | typeof origin;

/** Identifies the origin as a source. */
export const origin = 'origin';

/** Yields the sources of a chunk for one member, best first. */
export type SourceOrder = (
  topology: Topology,
  self: WeightMember,
  chunk: number,
) => Iterable<WeightSource>;

/** Children of each member in a data centre's tree. */
const fanOut = 2;
/** Members tried in each preceding data centre, as its first member may not respond. */
const candidatesPerDataCentre = 3;
/** Closest preceding positions tried when all ancestors have failed. */
const neighbourCandidates = 4;

/** The first members of the preceding data centres, the closest data centre first. */
function* earlierDataCentreSources(
  topology: Topology,
  group: number,
  chunk: number,
): Iterable<WeightSource> {
  const order = topology.dataCentreOrder(chunk);
  for (let index = order.indexOf(group) - 1; index >= 0; index -= 1) {
    for (let position = 0; position < candidatesPerDataCentre; position += 1) {
      const member = topology.memberAt(order[index]!, position, chunk);
      if (member) yield member;
    }
  }
}

/** Members that may hold the chunk although they rank later; for when the origin is down. */
function* lastResortSources(
  topology: Topology,
  self: WeightMember,
  chunk: number,
): Iterable<WeightSource> {
  for (const group of topology.dataCentreOrder(chunk)) {
    for (let position = 0; position < candidatesPerDataCentre; position += 1) {
      const member = topology.memberAt(group, position, chunk);
      if (member && member.name !== self.name) yield member;
    }
  }
}

/**
 * A tree per chunk: the parent in the data centre's tree, its ancestors, the closest preceding
 * positions, the first members of the preceding data centres, the origin, and any other holder.
 */
function* treeSources(
  topology: Topology,
  self: WeightMember,
  chunk: number,
): Iterable<WeightSource> {
  const group = topology.getGroupIndex(self.name);
  const ownPosition = topology.getPosition(self.name, chunk);
  for (let position = ownPosition; position > 0;) {
    position = Math.floor((position - 1) / fanOut);
    yield topology.memberAt(group, position, chunk)!;
  }
  const last = Math.max(0, ownPosition - neighbourCandidates);
  for (let position = ownPosition - 1; position >= last; position -= 1) {
    yield topology.memberAt(group, position, chunk)!;
  }
  yield* earlierDataCentreSources(topology, group, chunk);
  yield origin;
  yield* lastResortSources(topology, self, chunk);
}

/** A chain through each data centre, the same for all chunks. */
function* chainSources(topology: Topology, self: WeightMember): Iterable<WeightSource> {
  const group = topology.getGroupIndex(self.name);
  for (let position = topology.getPosition(self.name, 0); position > 0;) {
    position -= 1;
    yield topology.memberAt(group, position, 0)!;
  }
  yield* earlierDataCentreSources(topology, group, 0);
  yield origin;
}

/** A tree per chunk over rendezvous orders; the predecessor of `treeSources`. */
function* rendezvousSources(
  topology: Topology,
  self: WeightMember,
  chunk: number,
): Iterable<WeightSource> {
  const group = topology.getGroupIndex(self.name);
  const order = getRendezvousOrder(topology, group, chunk);
  for (let position = order.indexOf(self); position > 0;) {
    position = Math.floor((position - 1) / fanOut);
    yield order[position]!;
  }
  const dataCentres = topology.dataCentreOrder(chunk);
  for (let index = dataCentres.indexOf(group) - 1; index >= 0; index -= 1) {
    yield* getRendezvousOrder(topology, dataCentres[index]!, chunk).slice(
      0,
      candidatesPerDataCentre,
    );
  }
  yield origin;
}

const rendezvousOrderCache = new WeakMap<Topology, Map<string, WeightMember[]>>();

function getRendezvousOrder(topology: Topology, group: number, chunk: number): WeightMember[] {
  const cache = rendezvousOrderCache.get(topology) ?? new Map<string, WeightMember[]>();
  rendezvousOrderCache.set(topology, cache);
  const key = `${group}/${chunk}`;
  const groupMembers = topology.groups[group]!.members;
  const order = cache.get(key) ?? rendezvousOrder(String(chunk), groupMembers, ({ name }) => name);
  cache.set(key, order);
  return order;
}

/** Source orders that depend only on a member's position in the topology. */
export const sourceOrders = {
  trees: treeSources,
  rendezvousTrees: rendezvousSources,
  chain: chainSources,
  originOnly: () => [origin] as const,
} as const satisfies Readonly<Record<string, SourceOrder>>;

/** Weight of one tree level in the sending priority, as a number of chunks. */
const depthWeight = 4;

/**
 * Priority with which a holder sends a chunk to a waiting receiver, lowest first: prefers earlier
 * chunks, and receivers closer to the root, on which more members depend.
 */
export function sendingPriority(topology: Topology, receiver: string, chunk: number): number {
  const isKnown = topology.getGroupIndex(receiver) >= 0;
  const position = isKnown ? topology.getPosition(receiver, chunk) : chunk;
  return chunk + depthWeight * Math.log2(1 + position);
}
