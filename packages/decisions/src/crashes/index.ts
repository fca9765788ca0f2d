/** Conviction of content that crashes endpoints. */
export * from './convictions.js';
export * from './crashBlame.js';
export * from './crashEvidence.js';
export * from './requestSuspects.js';
export * from './traits.js';
