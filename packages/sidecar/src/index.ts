/** Agent beside an engine on a platform with a store: reports load and transfers weights. */
export * from './engineMonitor.js';
export * from './engineStaging.js';
export * from './fleetView.js';
export * from './heldVersion.js';
export * from './localEngine.js';
export * from './peerClient.js';
export * from './pieceGossip.js';
export * from './sidecar.js';
