/** The agent beside one endpoint. */
export { Agent } from './agent.js';
export { EndpointGate } from './endpointGate.js';
export type { Permit } from './endpointGate.js';
export { EndpointRunner } from './endpointRunner.js';
export { RunHandler } from './runHandler.js';
export { createRunHandler } from './createRunHandler.js';
export { WeightStore } from './weightStore.js';
export { SwitchSlots } from './switchSlots.js';
export type { Slot } from './switchSlots.js';
export * from './bandwidthLimiter.js';
export * from './weightFetcher.js';
export { WeightPeers } from './weightPeers.js';
export { SendScheduler } from './sendScheduler.js';
export { WeightServer } from './weightServer.js';
