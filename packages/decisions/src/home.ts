import { rendezvousOrder } from '@laburnumstream/common';

/** Where an endpoint or an entry stands. */
export interface HomeLocation {
  readonly dataCentre: string;
  readonly region: string;
}

const sameDataCentre = 0;
const sameRegion = 1;
const otherRegion = 2;

function distance(place: HomeLocation, other: HomeLocation): number {
  if (place.dataCentre === other.dataCentre) return sameDataCentre;
  return place.region === other.region ? sameRegion : otherRegion;
}

/**
 * The endpoint at which requests with the same key meet: the first by rendezvous hash among the
 * nearest, whatever their load.
 */
export function pickHome<Member extends HomeLocation & { readonly name: string }>(
  key: string,
  members: readonly Member[],
  place: HomeLocation,
): Member | undefined {
  const nearest = Math.min(...members.map((member) => distance(member, place)));
  const near = members.filter((member) => distance(member, place) === nearest);
  return rendezvousOrder(key, near, ({ name }) => name)[0];
}
