/** Parts of the operators' command-line tool that tests use. */
export * from './requestTimeline.js';
export * from './operatorClient.js';
