/** The decision logic: pure modules without input or output, clock or randomness of their own. */
export * from './admission.js';
export * from './answer.js';
export * from './chunkTree.js';
export * from './configuration.js';
export * from './manifest.js';
export * from './routing.js';
export * from './weights/index.js';
