/** Why an endpoint gets no request now, or that it may get one. */
export const EndpointState = {
  /** It may get a request. */
  free: 'free',
  /** It has as many requests as it bears, or all of its connections are in use. */
  full: 'full',
  /** It failed or fell silent, and is left alone for a while. */
  resting: 'resting',
  /** It has no whole version of the weights. */
  empty: 'empty',
  /** Its version of the weights may no longer be used. */
  outdated: 'outdated',
  switching: 'switching',
  /** The agent beside it has no answer from it. */
  silent: 'silent',
  draining: 'draining',
  /** Its data centre is evacuated. */
  evacuated: 'evacuated',
} as const;

/** One of the values of {@link EndpointState}. */
export type EndpointState = (typeof EndpointState)[keyof typeof EndpointState];
