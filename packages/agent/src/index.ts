/** The agent beside one endpoint. */
export { Agent } from './agent.js';
export { EndpointGate } from './endpointGate.js';
export type { Permit } from './endpointGate.js';
export { EndpointRunner } from './endpointRuns.js';
export { RunHandler } from './runHandler.js';
export { createRunHandler } from './runParts.js';
export { WeightStore } from './weightStore.js';
export { SwitchSlots } from './slots.js';
export type { Slot } from './slots.js';
export * from './pace.js';
export * from './weightFetcher.js';
export { WeightPeers } from './weightPeers.js';
export { SendScheduler } from './weightSender.js';
export { WeightServer } from './weightServer.js';
