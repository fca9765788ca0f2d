import { hash32, rendezvousOrder } from '@laburnumstream/common';

/** A process that can be reached at an address. */
export interface Peer {
  readonly name: string;
  readonly region: string;
  readonly dataCentre: string;
  readonly address: string;
}

const getName = ({ name }: Peer): string => name;

/**
 * Chooses the entries that a member sends heartbeats to: a few of its own data centre, spread evenly by
 * hash. Entries of other data centres are used only when its own has none.
 */
export function chooseObservers(self: Peer, entries: readonly Peer[], count: number): Peer[] {
  const own = entries.filter(({ dataCentre }) => dataCentre === self.dataCentre);
  const pool = own.length > 0 ? own : entries;
  return rendezvousOrder(self.name, pool, getName).slice(0, count);
}

function compareRingOrder(a: Peer, b: Peer): number {
  return hash32(a.name) - hash32(b.name) || (a.name < b.name ? -1 : 1);
}

/**
 * Chooses the entries of the same data centre that an entry exchanges records with: its successor on a
 * hash ring, so that every entry is another's partner, and a few by hash, so that updates need few hops.
 */
export function choosePartners(self: Peer, entries: readonly Peer[], count: number): Peer[] {
  const others = entries.filter(
    ({ name, dataCentre }) => name !== self.name && dataCentre === self.dataCentre,
  );
  if (others.length <= count) return others;
  const ring = [...others, self].sort(compareRingOrder);
  const successor = ring[(ring.findIndex(({ name }) => name === self.name) + 1) % ring.length]!;
  const rest = rendezvousOrder(self.name, others, getName).filter(
    ({ name }) => name !== successor.name,
  );
  return [successor, ...rest.slice(0, count - 1)];
}

/** Whether an entry is one of those that exchange records with other data centres. */
export function isBridge(self: Peer, entries: readonly Peer[], count: number): boolean {
  const own = entries.filter(({ dataCentre }) => dataCentre === self.dataCentre);
  const present = own.some(({ name }) => name === self.name) ? own : [...own, self];
  return rendezvousOrder(self.dataCentre, present, getName)
    .slice(0, count)
    .some(({ name }) => name === self.name);
}

/** Chooses one entry of each other data centre; `rotation` selects the next one after a failure. */
export function chooseRemotes(
  self: Peer,
  entries: readonly Peer[],
  rotation: (dataCentre: string) => number,
): Peer[] {
  const byDataCentre = new Map<string, Peer[]>();
  entries.forEach((entry) => {
    if (entry.dataCentre === self.dataCentre) return;
    byDataCentre.set(entry.dataCentre, [...(byDataCentre.get(entry.dataCentre) ?? []), entry]);
  });
  return [...byDataCentre].map(([dataCentre, peers]) => {
    const order = rendezvousOrder(self.name, peers, getName);
    return order[rotation(dataCentre) % order.length]!;
  });
}
