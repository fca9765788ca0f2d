/** The agent beside an engine, on a platform with a store: load reports and weights. */
export * from './engineWatch.js';
export * from './localEngine.js';
export * from './peerClient.js';
export * from './sidecar.js';
