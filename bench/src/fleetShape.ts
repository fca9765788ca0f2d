/** A service in a fleet under test. */
export interface ServiceShape {
  readonly name: string;
  readonly kind: 'engine' | 'plain';
  /** Number of endpoints in each data centre, in the order of `FleetShape.dataCentres`. */
  readonly endpoints: readonly number[];
}

/** A data centre and its number of entries. */
export interface DataCentreShape {
  readonly name: string;
  readonly region: string;
  readonly entries: number;
}

/** The shape of a fleet under test. */
export interface FleetShape {
  readonly dataCentres: readonly DataCentreShape[];
  readonly services: readonly ServiceShape[];
  readonly originRegion: string;
}

/** Pecos Tag & Brand: 7 entries, 10 engines, 3 order desks, 1 portal over 3 data centres. */
export const pecosFleet: FleetShape = {
  dataCentres: [
    { name: 'lubbock-a', region: 'south-plains', entries: 3 },
    { name: 'sanangelo-a', region: 'edwards-plateau', entries: 2 },
    { name: 'alpine-a', region: 'trans-pecos', entries: 2 },
  ],
  services: [
    { name: 'tag-assistant', kind: 'engine', endpoints: [4, 3, 3] },
    { name: 'order-desk', kind: 'plain', endpoints: [1, 1, 1] },
    { name: 'store-portal', kind: 'plain', endpoints: [1, 0, 0] },
  ],
  originRegion: 'south-plains',
};

/** Noorani Gemological: 7 entries, 6 engines, 3 certificate desks, 1 portal over 3 data centres. */
export const nooraniFleet: FleetShape = {
  dataCentres: [
    { name: 'sindh-a', region: 'sindh', entries: 3 },
    { name: 'punjab-a', region: 'punjab', entries: 2 },
    { name: 'khyber-a', region: 'khyber', entries: 2 },
  ],
  services: [
    { name: 'appraise-model', kind: 'engine', endpoints: [2, 2, 2] },
    { name: 'cert-desk', kind: 'plain', endpoints: [1, 1, 1] },
    { name: 'branch-portal', kind: 'plain', endpoints: [1, 0, 0] },
  ],
  originRegion: 'sindh',
};

/** The smallest fleet with two data centres. */
export const smallFleet: FleetShape = {
  dataCentres: [
    { name: 'north-a', region: 'north', entries: 1 },
    { name: 'south-a', region: 'south', entries: 1 },
  ],
  services: [
    { name: 'assistant', kind: 'engine', endpoints: [2, 1] },
    { name: 'desk', kind: 'plain', endpoints: [1, 1] },
  ],
  originRegion: 'north',
};
