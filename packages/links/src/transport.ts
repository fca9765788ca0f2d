import type { Interceptor, Transport } from '@connectrpc/connect';
import { createConnectTransport } from '@connectrpc/connect-node';
import { GuardedSessionManager } from './guardedSessionManager.js';
import type { Secrets } from './secrets.js';

/** Time between pings on a connection in use, in milliseconds. */
const pingIntervalMs = 1_000;
/** Time without a response to a ping after which the connection is replaced, in milliseconds. */
const pingTimeoutMs = 1_000;
const idleConnectionTimeoutMs = 60_000;

/** Header that carries the shared secret between the system's own processes. */
export const secretHeader = 'x-laburnumstream-secret';

/** A connection to another process of the system. */
export interface Link {
  readonly transport: Transport;
  /** Closes the connection; the next call opens a new one. */
  close(): void;
}

/** Creates a link to another process of the system, which connects on the first call. */
export function openLink(baseUrl: string, secrets: Secrets): Link {
  const authenticate: Interceptor = (next) => (request) => {
    request.header.set(secretHeader, secrets.outgoing);
    return next(request);
  };
  const pingOptions = {
    pingIntervalMs,
    pingTimeoutMs,
    pingIdleConnection: false,
    idleConnectionTimeoutMs,
  };
  // Frames are small and urgent; Nagle's algorithm would delay them until earlier ones are acknowledged.
  const socketOptions = { noDelay: true } as object;
  const sessionManager = new GuardedSessionManager(baseUrl, pingOptions, socketOptions);
  const transport = createConnectTransport({
    baseUrl,
    httpVersion: '2',
    interceptors: [authenticate],
    acceptCompression: [],
    sessionManager,
  });
  return { transport, close: () => sessionManager.abort() };
}
