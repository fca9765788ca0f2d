/** Whether an endpoint can get a request now, and the reason if it cannot. */
export const EndpointState = {
  /** It can get a request. */
  free: 'free',
  /** It has reached its limit of requests or connections. */
  full: 'full',
  /** It has named a limit, and this entry has used its share, or has none. */
  limited: 'limited',
  /** It is ejected for a while after failures or silence. */
  resting: 'resting',
  /** Its response has shown that another endpoint has its address, or that it holds no weights. */
  misdirected: 'misdirected',
  /** It has no complete version of the weights. */
  empty: 'empty',
  /** Its version of the weights may no longer be used. */
  outdated: 'outdated',
  /** It is about to load another version of the weights. */
  switching: 'switching',
  /** Its agent gets no response from it. */
  silent: 'silent',
  draining: 'draining',
  /** It has said that it leaves. */
  leaving: 'leaving',
  /** It has asked for a pause that is not over. */
  paused: 'paused',
  /** Its data centre is being evacuated. */
  evacuated: 'evacuated',
} as const;

/** One of the values of {@link EndpointState}. */
export type EndpointState = (typeof EndpointState)[keyof typeof EndpointState];
