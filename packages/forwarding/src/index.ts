/** The entry for a platform with its own store: forwards callers' requests to endpoints. */
export * from './responseCollector.js';
export * from './connectionPool.js';
export * from './dispatchQueue.js';
export * from './endpointDirectory.js';
export * from './endpointCall.js';
export * from './endpointHandle.js';
export * from './fleetChange.js';
export * from './forwardingEntry.js';
export * from './headerCodec.js';
export * from './heads.js';
export * from './fleetWatcher.js';
export * from './fleetState.js';
export * from './refusal.js';
export * from './requestCounter.js';
export * from './entryCounts.js';
