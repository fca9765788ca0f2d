/** Stand-ins for the platform, the origin and the endpoints, with injectable faults for tests. */
export * from './engineStandIn.js';
export * from './httpStandIn.js';
export * from './instanceListStandIn.js';
export * from './keyValueStandIn.js';
export * from './narrowLink.js';
export * from './originStandIn.js';
export * from './plainStandIn.js';
export * from './platformEngine.js';
export * from './platformStore.js';
export * from './relay.js';
export * from './tokenBucket.js';
export * from './memoryKeyValueStore.js';
export * from './virtualClock.js';
export * from './memoryStoreContent.js';
