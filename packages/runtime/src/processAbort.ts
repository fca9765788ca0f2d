import { setMaxListeners } from 'node:events';

/** Creates the abort controller of a process, which allows any number of listeners. */
export function createProcessAbort(): AbortController {
  const abort = new AbortController();
  // Each connection and component adds a listener; by default Node warns from the eleventh on.
  setMaxListeners(0, abort.signal);
  return abort;
}
