/** Distribution of weights: who fetches which chunk from whom. */
export * from './holderTransfer.js';
export * from './sources.js';
export * from './swarm.js';
export * from './switchSchedule.js';
export * from './topology.js';
export * from './transfer.js';
export * from './rollOut.js';
