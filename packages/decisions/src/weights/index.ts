/** Distribution of weights: the sources of each chunk, and the order of switches. */
export * from './holderTransfer.js';
export * from './sources.js';
export * from './swarm.js';
export * from './switchSchedule.js';
export * from './topology.js';
export * from './transfer.js';
export * from './weightMember.js';
export * from './rollOut.js';
