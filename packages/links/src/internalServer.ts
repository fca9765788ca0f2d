import { createServer } from 'node:http2';
import type { ServerHttp2Session } from 'node:http2';
import { setTimeout as sleep } from 'node:timers/promises';
import { Code, ConnectError } from '@connectrpc/connect';
import type { ConnectRouter, Interceptor } from '@connectrpc/connect';
import { connectNodeAdapter } from '@connectrpc/connect-node';
import type { Metrics } from '@laburnumstream/common';
import type { Secrets } from './secrets.js';
import { secretHeader } from './transport.js';

/** Maximum size of a message, in bytes. */
const maxMessageBytes = 8_388_608;

const drainPollIntervalMs = 20;

/** Rejects calls without an accepted secret. */
function requireSecret(secrets: Secrets, metrics: Metrics): Interceptor {
  return (next) => (request) => {
    const secret = request.header.get(secretHeader) ?? '';
    if (secrets.accepts(secret)) return next(request);
    metrics.count('internal_calls_unauthenticated');
    throw new ConnectError('The shared secret is wrong.', Code.Unauthenticated);
  };
}

/** Address and secrets of an internal server. */
export interface InternalServerOptions {
  readonly host: string;
  readonly port: number;
  readonly secrets: Secrets;
}

/** A running server of internal calls. */
export interface InternalServer {
  /** Tells peers to start no more calls and waits up to `limitMs` for the running ones. */
  drain(limitMs: number): Promise<void>;
}

/** Serves calls between the system's own processes over HTTP/2 until the signal fires. */
export function serveInternal(
  options: InternalServerOptions,
  routes: (router: ConnectRouter) => void,
  metrics: Metrics,
  signal: AbortSignal,
): Promise<InternalServer> {
  const handler = connectNodeAdapter({
    routes,
    interceptors: [requireSecret(options.secrets, metrics)],
    readMaxBytes: maxMessageBytes,
    acceptCompression: [],
  });
  const server = createServer({ noDelay: true } as object, handler);
  const sessions = new Set<ServerHttp2Session>();
  server.on('session', (session) => {
    sessions.add(session);
    session.on('close', () => sessions.delete(session));
    session.on('error', () => session.destroy());
  });
  signal.addEventListener('abort', () => {
    server.close();
    sessions.forEach((session) => session.destroy());
  });
  const drain = async (limitMs: number): Promise<void> => {
    server.close();
    sessions.forEach((session) => session.close());
    const deadline = performance.now() + limitMs;
    while (sessions.size > 0 && performance.now() < deadline) await sleep(drainPollIntervalMs);
  };
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(options.port, options.host, () => resolve({ drain }));
  });
}
