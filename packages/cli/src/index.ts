/** The operators' command; what tests use of it. */
export * from './explanation.js';
export * from './operatorClient.js';
