import { rendezvousOrder } from '@laburnumstream/common';

/** Location of an endpoint or an entry. */
export interface HomeLocation {
  readonly dataCentre: string;
  readonly region: string;
}

const sameDataCentre = 0;
const sameRegion = 1;
const otherRegion = 2;

function distance(a: HomeLocation, b: HomeLocation): number {
  if (a.dataCentre === b.dataCentre) return sameDataCentre;
  return a.region === b.region ? sameRegion : otherRegion;
}

/**
 * Picks the home of a key: the endpoint that all requests with this key are routed to. It is the first
 * by rendezvous hash among the nearest endpoints, regardless of load.
 */
export function pickHome<Member extends HomeLocation & { readonly name: string }>(
  key: string,
  members: readonly Member[],
  from: HomeLocation,
): Member | undefined {
  const minDistance = Math.min(...members.map((member) => distance(member, from)));
  const nearest = members.filter((member) => distance(member, from) === minDistance);
  return rendezvousOrder(key, nearest, ({ name }) => name)[0];
}
