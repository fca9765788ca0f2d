import { createServer } from 'node:http';
import type { IncomingMessage, RequestListener, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { Log, Metrics } from '@laburnumstream/common';
import { ConnectionLimit } from './connectionLimit.js';
import { parseInPieces } from './parseInPieces.js';

/** Bounds of a server that answers small requests without bodies. */
export interface ServerBounds {
  /** Maximum number of open connections. */
  readonly maxConnections: number;
  /** Maximum number of unanswered requests on a connection; one with more is closed. */
  readonly maxPipelined: number;
}

/** Time in which a head must be complete, in milliseconds. */
const headTimeoutMs = 5_000;
/** Time without any byte after which a connection is closed, in milliseconds; peers wait up to 2 s for changes. */
const silenceMs = 30_000;
const checkIntervalMs = 1_000;
const tooLargeStatus = 413;

function hasBody({ headers }: IncomingMessage): boolean {
  const length = headers['content-length'] ?? '0';
  return headers['transfer-encoding'] !== undefined || length !== '0';
}

/** Refuses a request with a body, and stops reading it. */
function refuseBody(request: IncomingMessage, response: ServerResponse): void {
  const { socket } = request;
  response.writeHead(tooLargeStatus, { 'content-length': '0', connection: 'close' });
  response.end(() => socket.destroy());
}

/**
 * Creates an HTTP server for requests without bodies, whose connections and unanswered requests are bounded. What
 * exceeds a bound is closed and reported to `onClose`.
 */
export function createBoundedServer(
  listener: RequestListener,
  { maxConnections, maxPipelined }: ServerBounds,
  onClose: () => void = () => undefined,
): Server {
  const limit = new ConnectionLimit(maxConnections, onClose);
  const unanswered = new Map<Socket, number>();
  const answered = (socket: Socket): void => {
    const left = (unanswered.get(socket) ?? 1) - 1;
    if (left > 0) {
      unanswered.set(socket, left);
      return;
    }
    unanswered.delete(socket);
    limit.markIdle(socket);
  };
  const server = createServer(
    {
      keepAlive: true,
      headersTimeout: headTimeoutMs,
      requestTimeout: headTimeoutMs,
      connectionsCheckingInterval: checkIntervalMs,
    },
    (request, response) => {
      const { socket } = request;
      if (socket.destroyed) return;
      const count = (unanswered.get(socket) ?? 0) + 1;
      if (count > maxPipelined) {
        onClose();
        socket.destroy();
        return;
      }
      unanswered.set(socket, count);
      limit.markBusy(socket);
      response.once('finish', () => answered(socket));
      if (hasBody(request)) {
        onClose();
        refuseBody(request, response);
      } else listener(request, response);
    },
  );
  server.setTimeout(silenceMs);
  server.on('connection', (socket: Socket) => {
    if (!limit.add(socket)) return;
    socket.once('close', () => unanswered.delete(socket));
    parseInPieces(socket);
  });
  return server;
}

/** Counts and logs a connection that was closed because it exceeded a bound of a listener. */
export function recordClosed(metrics: Metrics, log: Log, listener: string): void {
  metrics.count('connections_closed', { listener, reason: 'bounds' });
  log.info('Connection closed at a bound of its listener.', { listener });
}
