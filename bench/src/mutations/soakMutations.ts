import type { Mutation } from './mutation.js';

const test = 'Fault soak: all kinds of faults';
const length = ['--minutes', '0.4', '--processes', '5'];

function soak(faults: string): readonly string[] {
  return [...length, '--faults', faults];
}

/** Mutations of mechanisms, each of which the fault soak must detect. */
export const soakMutations: readonly Mutation[] = [
  {
    name: 'end of an answer without length',
    file: 'packages/runtime/dist/resetAwareSocket.js',
    find: 'chunk !== null',
    replace: 'true',
    test,
    soak: soak('answersCutShort'),
  },
  {
    name: 'answers that belong to other requests',
    file: 'packages/forwarding/dist/endpoints/endpointCall.js',
    find: 'return requestId === this.request.id;',
    replace: 'return true;',
    test,
    soak: soak('engineMisbehaves'),
  },
  {
    name: 'no repeat of what may have run',
    file: 'packages/decisions/dist/forwarding/responseClassification.js',
    find: 'return isRetryable || execution === Execution.notRun;',
    replace: 'return true;',
    test,
    soak: soak('engineMisbehaves'),
  },
  {
    name: 'unknown outcome of a broken connection',
    file: 'packages/forwarding/dist/endpoints/endpointCall.js',
    find: 'unsentFaults.has(fault) ? Execution.notRun : Execution.unknown',
    replace: 'Execution.notRun',
    test,
    soak: soak('engineMisbehaves'),
  },
  {
    name: 'age of the proof of keys',
    file: 'packages/forwarding/dist/callers/routeAccess.js',
    find: 'if (!this.freshness.mayAcceptKeys())',
    replace: 'if (false)',
    test,
    soak: soak('keysChangeUnheard'),
  },
  {
    name: 'draining endpoints',
    file: 'packages/forwarding/dist/endpoints/endpointDirectory.js',
    find: '!endpoint.isDraining &&',
    replace: '',
    test,
    soak: soak('engineLeaves'),
  },
  {
    name: 'digest of a piece',
    file: 'packages/sidecar/dist/versionFetch.js',
    find: 'if (sha256Hex(bytes) !== this.held.manifest.digests[piece])',
    replace: 'if (false)',
    test,
    soak: soak('originCorrupts'),
  },
  {
    name: 'broken streams',
    file: 'packages/forwarding/dist/attempts/eventRelay.js',
    find: "this.settle({ kind: 'fault', fault, reason });",
    replace: 'this.onEnd();',
    test,
    soak: soak('engineMisbehaves'),
  },
  {
    name: 'wait for running requests of an entry that stops',
    file: 'packages/forwarding/dist/forwardingEntry.js',
    find: 'while (clock.now() < at && !isDone())',
    replace: 'while (false)',
    test,
    soak: soak('stopEntry'),
  },
];
