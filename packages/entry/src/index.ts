/** The entry process: HTTP servers for callers and operators, routing and configuration. */
export { AttemptRunner } from './attempt.js';
export type { RunTransport } from './attempt.js';
export type { ResponsePart, CallerRequest } from './callerRequest.js';
export { CrashGuard } from './crashGuard.js';
export { MemberDirectory } from './directory.js';
export { Entry } from './entry.js';
export { RequestDispatcher } from './requestDispatcher.js';
export * from './auditTrail.js';
export * from './changes.js';
export * from './configurationEditor.js';
export * from './prober.js';
export * from './configurationKeeper.js';
export * from './configurationPeers.js';
export * from './configurationSpreader.js';
export * from './configurationWatcher.js';
export { Router } from './router.js';
