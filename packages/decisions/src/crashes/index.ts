/** Quarantine of content that crashes endpoints. */
export * from './quarantines.js';
export * from './crashCauses.js';
export * from './crashEvidence.js';
export * from './crashingRequests.js';
export * from './traits.js';
