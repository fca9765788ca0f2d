/** The entry for a platform with its own store: forwards callers' requests to endpoints. */
export * from './answerCollector.js';
export * from './connectionPool.js';
export * from './dispatchLine.js';
export * from './endpointDirectory.js';
export * from './endpointCall.js';
export * from './endpointHandle.js';
export * from './fleetChange.js';
export * from './forwardingEntry.js';
export * from './headerCodec.js';
export * from './heads.js';
export * from './fleetFeed.js';
export * from './fleetState.js';
export * from './refusal.js';
export * from './requestCounts.js';
export * from './sharingEntries.js';
