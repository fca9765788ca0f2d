/** The size that the system is designed for, as the users stated it. */
export const target = {
  nodes: 370,
  engines: 760,
  instances: 2_400,
  regions: 2,
  dataCentres: 6,
  requestsPerSecond: 2_500,
  tokensPerSecond: 950_000,
  changesPerDay: 750,
  restartsPerDay: 380,
} as const;
