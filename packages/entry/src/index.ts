/** The entry process: HTTP servers for callers and operators, routing and configuration. */
export { AttemptRunner } from './attemptRunner.js';
export type { RunTransport } from './attemptRunner.js';
export type { ResponsePart, CallerRequest } from './callerRequest.js';
export { CrashGuard } from './crashGuard.js';
export { PartialResponse } from './partialResponse.js';
export { MemberDirectory } from './memberDirectory.js';
export { Entry } from './entry.js';
export { RequestDispatcher } from './requestDispatcher.js';
export * from './auditTrail.js';
export * from './changes.js';
export * from './configurationEditor.js';
export * from './prober.js';
export * from './configurationReplica.js';
export * from './configurationPeers.js';
export * from './configurationReplicator.js';
export * from './configurationWatcher.js';
export { Router } from './router.js';
