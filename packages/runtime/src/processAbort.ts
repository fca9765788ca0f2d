import { setMaxListeners } from 'node:events';

/** The abort controller of a process: any number of parts may listen to it. */
export function createProcessAbort(): AbortController {
  const abort = new AbortController();
  // One listener for each connection and part; the usual limit of ten would warn at the eleventh.
  setMaxListeners(0, abort.signal);
  return abort;
}
