/** Platform-neutral types and utilities shared by all packages. */
export * from './asyncQueue.js';
export * from './byteBlocks.js';
export * from './byteCollector.js';
export * from './chart.js';
export * from './failures.js';
export * from './fleet.js';
export * from './fleetSettings.js';
export * from './linkedAbort.js';
export * from './options.js';
export * from './rendezvous.js';
export * from './responseStatus.js';
export * from './seededRandom.js';
export * from './services.js';
export * from './sleepAwareClock.js';
export * from './timeoutSignal.js';
export * from './pauseDetector.js';
