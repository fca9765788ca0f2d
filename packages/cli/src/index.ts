/** Parts of the operators' command-line tool that tests use. */
export * from './explanation.js';
export * from './operatorClient.js';
