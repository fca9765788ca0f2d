import type { Mutation } from './mutation.js';
import { soakMutations } from './soakMutations.js';

/** The mechanisms that tests are shown to need. */
export const mutations: readonly Mutation[] = [
  {
    name: 'chunk verification',
    file: 'packages/agent/dist/weightFetcher.js',
    find: 'if (sha256(bytes) !== version.manifest.chunks[chunk])',
    replace: 'if (false)',
    test: 'Roll-out safety: corrupt chunks from the origin',
  },
  {
    name: 'end of a slot with its lease',
    file: 'packages/agent/dist/slots.js',
    find: 'return this.clock.now() < slot.until;',
    replace: 'return true;',
    test: 'Weight fetch decisions: slot of a paused holder',
  },
  {
    name: 'return to the cold limit',
    file: 'packages/decisions/dist/admission.js',
    find: 'turnCold(now) {\n        this.reset();',
    replace: 'turnCold(now) {',
    test: 'Admission: cold limit over restarts',
  },
  {
    name: 'refusal in a data centre taken out',
    file: 'packages/agent/dist/runHandler.js',
    find: 'if (!isIn(this.configuration(), this.settings.dataCentre))',
    replace: 'if (false)',
    test: 'Take-out of a data centre: no new work',
  },
  {
    name: 'pause check before a run',
    file: 'packages/agent/dist/runHandler.js',
    find: 'if (!this.isSettled())',
    replace: 'if (false)',
    test: 'Restart and loss of processes: frozen agent',
  },
  {
    name: 'conditional claim',
    file: 'packages/decisions/dist/claims.js',
    find: 'JSON.stringify(record), { ifRevision, lease }, signal)',
    replace: 'JSON.stringify(record), { lease }, signal)',
    test: 'At most once: resent order',
  },
  {
    name: 'reconnection after a lost link',
    file: 'packages/decisions/dist/recovery.js',
    find: 'const mostReconnects = 2;',
    replace: 'const mostReconnects = 0;',
    test: 'Whole answers: cut connection',
  },
  {
    name: 'honest execution of a refusal',
    file: 'packages/entry/dist/course.js',
    find: 'if (failure.execution !== Execution.notRun || !unsure)',
    replace: 'if (true)',
    test: 'Histories of concurrent requests: histories with faults',
  },
  {
    name: 'withdrawal in heartbeats',
    file: 'packages/agent/dist/presence.js',
    find: 'async withdraw(signal) {\n        this.leaving = true;',
    replace: 'async withdraw(signal) {',
    test: 'Restart and loss of processes: withdrawal',
  },
  {
    name: 'wait for running requests at shutdown',
    file: 'packages/agent/dist/agent.js',
    find: 'while (this.runs.active > 0)',
    replace: 'while (false)',
    test: 'Whole path: graceful shutdown',
  },
  {
    name: 'never back to an older configuration',
    file: 'packages/entry/dist/configurationKeeper.js',
    find: 'if (revision <= this.current.revision)',
    replace: 'if (revision === this.current.revision)',
    test: 'Spread of configurations: store restored to an older state',
  },
  {
    name: 'crashing requests run alone',
    file: 'packages/entry/dist/crashGuard.js',
    find: 'return state === VerdictState.suspect;',
    replace: 'return false;',
    test: 'Requests that crash endpoints: resent crashing request',
  },
  {
    name: 'shared secret',
    file: 'packages/links/dist/secrets.js',
    find: 'return this.list.some((secret) => equal(secret, given));',
    replace: 'return true;',
    test: 'Calls between own processes: wrong secret',
  },
  ...soakMutations,
];
