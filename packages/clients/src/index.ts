/** HTTP clients of the platform's services and of the endpoints. */
export * from './httpClient.js';
export * from './httpInstanceList.js';
export * from './httpKeyValueStore.js';
export * from './httpModelEngine.js';
export * from './httpPlainService.js';
export * from './httpWeightOrigin.js';
export * from './instanceCache.js';
