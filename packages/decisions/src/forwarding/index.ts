/** Forwarding of requests to endpoints: where they go, how long they wait, when they are repeated. */
export * from './attemptResult.js';
export * from './configurationProof.js';
export * from './endpointHealth.js';
export * from './endpointLoad.js';
export * from './engineModel.js';
export * from './eventSplitter.js';
export * from './namedVersions.js';
export * from './placement.js';
export * from './removalHold.js';
export * from './roomShare.js';
export * from './routeTable.js';
export * from './servedShares.js';
export * from './sharedRate.js';
export * from './sharedRetryBudget.js';
export * from './slidingCount.js';
export * from './versionUse.js';
export * from './waitingLine.js';
