import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

/** Handles one request on a {@link PlatformEngine}. */
export type Behaviour = (
  request: IncomingMessage,
  response: ServerResponse,
  engine: PlatformEngine,
) => void | Promise<void>;

const eventIntervalMs = 15;
const delayMs = 100;

/** Builds the response headers that an engine of the platform sends. */
export function buildHeaders(
  request: IncomingMessage,
  engine: Pick<PlatformEngine, 'id'> & Partial<Pick<PlatformEngine, 'addedHeaders'>>,
): Record<string, string> {
  const requestId = request.headers['laburnumstream-request-id'];
  return {
    ...engine.addedHeaders,
    ...(requestId === undefined ? {} : { 'laburnumstream-request-id': String(requestId) }),
    'laburnumstream-server-seal': `seal.${engine.id}`,
  };
}

function formatEvent(id: number): string {
  return `id: ${id}\ndata: token ${id}\n\n`;
}

/** Streams the events after `Last-Event-Id` up to and including `last`, then ends. */
export function streamEvents(last: number, beforeEvent?: (id: number) => Promise<void>): Behaviour {
  return async (request, response, engine) => {
    response.writeHead(200, {
      ...buildHeaders(request, engine),
      'content-type': 'text/event-stream',
    });
    const first = Number(request.headers['last-event-id'] ?? 0) + 1;
    for (let id = first; id <= last && !response.destroyed; id += 1) {
      await beforeEvent?.(id);
      response.write(formatEvent(id));
      await sleep(eventIntervalMs);
    }
    response.end();
  };
}

/** Writes the head of a response that has neither a content length nor chunked encoding. */
function writeUnframedHead(request: IncomingMessage, engine: PlatformEngine, type: string): void {
  const headers = Object.entries({ ...buildHeaders(request, engine), 'content-type': type });
  const lines = headers.map(([name, value]) => `${name}: ${value}\r\n`);
  request.socket.write(`HTTP/1.1 200 OK\r\n${lines.join('')}Connection: close\r\n\r\n`);
}

/** Five events and part of the sixth. */
const truncatedEvents = [1, 2, 3, 4, 5].map(formatEvent).join('') + formatEvent(6).slice(0, 8);

/** Streams five events and part of the sixth in an unframed response, then ends the connection. */
function truncateStream(end: (socket: Socket) => void): Behaviour {
  return (request, _response, engine) => {
    const { socket } = request;
    writeUnframedHead(request, engine, 'text/event-stream');
    socket.write(truncatedEvents);
    end(socket);
  };
}

/** Sends a response that is complete by its framing and ends within an event. */
function endWithinEvent(framing: Readonly<Record<string, string | number>>): Behaviour {
  return (request, response, engine) => {
    const headers = { ...buildHeaders(request, engine), 'content-type': 'text/event-stream' };
    response.writeHead(200, { ...headers, ...framing });
    response.end(truncatedEvents);
  };
}

/** Responds with a body. */
export function respondWith(body: string): Behaviour {
  return (request, response, engine) => {
    response.writeHead(200, buildHeaders(request, engine));
    response.end(body);
  };
}

/** Behaviours that feature files refer to by name. */
export const Behaviours = {
  answers: respondWith('whole answer'),
  /** Executes the request and resets the connection. */
  breaks: (request) => {
    request.socket.resetAndDestroy();
  },
  /** Rejects the request without executing it. */
  refuses: (_request, response) => {
    response.writeHead(503, { 'laburnumstream-not-executed': '1' });
    response.end();
  },
  /** Executes the request and never responds. */
  hangs: () => undefined,
  /** Responds after a delay. */
  delays: async (request, response, engine) => {
    await sleep(delayMs);
    respondWith('whole answer')(request, response, engine);
  },
  streams: streamEvents(12),
  /** Resets the connection in the middle of the sixth event. */
  stops: async (request, response, engine) => {
    response.writeHead(200, {
      ...buildHeaders(request, engine),
      'content-type': 'text/event-stream',
    });
    for (let id = 1; id <= 5; id += 1) response.write(formatEvent(id));
    response.write('id: 6\nda');
    await sleep(eventIntervalMs);
    request.socket.resetAndDestroy();
  },
  /** Resets the connection right after the first bytes of an unframed response. */
  resetsAnswer: (request, _response, engine) => {
    writeUnframedHead(request, engine, 'text/plain');
    request.socket.write('whole an');
    request.socket.resetAndDestroy();
  },
  /** Names a limit of one request in ten seconds. */
  names: (request, response, engine) => {
    response.setHeader('server-limit', '0.1');
    respondWith('whole answer')(request, response, engine);
  },
  /** Says that it leaves. */
  leaves: (request, response, engine) => {
    response.setHeader('server-leaving', '1');
    respondWith('whole answer')(request, response, engine);
  },
  /** Rejects the request without executing it, and asks for a pause of two seconds. */
  defers: (request, response, engine) => {
    response.setHeader('retry-after', '2');
    response.writeHead(503, {
      ...buildHeaders(request, engine),
      'laburnumstream-not-executed': '1',
    });
    response.end();
  },
  /** Sends a complete unframed response. */
  closesAnswer: (request, _response, engine) => {
    writeUnframedHead(request, engine, 'text/plain');
    request.socket.end('whole answer');
  },
  /** Resets the connection within an event of an unframed stream. */
  resetsStream: truncateStream((socket) => socket.resetAndDestroy()),
  /** Closes the connection within an event of an unframed stream. */
  endsWithinEvent: truncateStream((socket) => socket.end()),
  /** Ends a stream in chunks within an event, with the last chunk. */
  endsChunksWithinEvent: endWithinEvent({ 'transfer-encoding': 'chunked' }),
  /** Ends a stream of a stated length within an event, with all its bytes. */
  endsLengthWithinEvent: endWithinEvent({ 'content-length': truncatedEvents.length }),
  /** Sends a complete unframed stream. */
  endsUnframed: (request, _response, engine) => {
    writeUnframedHead(request, engine, 'text/event-stream');
    for (let id = 1; id <= 12; id += 1) request.socket.write(formatEvent(id));
    request.socket.end();
  },
  /** Pauses in the middle of a stream, then continues. */
  pauses: streamEvents(12, (id) => sleep(id === 6 ? 1_300 : 0)),
} as const satisfies Record<string, Behaviour>;

/** A stand-in for an engine, or another server of a service, on the users' platform. */
export class PlatformEngine {
  /** Ids of the requests whose execution started. */
  readonly startedRequestIds: string[] = [];

  /** Headers of the received requests. */
  readonly receivedHeaders: IncomingMessage['headers'][] = [];

  /** Headers that all responses have in addition. */
  readonly addedHeaders: Record<string, string> = {};

  /** Number of connections that callers closed while their request ran. */
  clientDisconnects = 0;

  /** Number of connections that callers reset. */
  clientResets = 0;

  private constructor(
    readonly id: string,
    private readonly server: Server,
  ) {}

  static async start(
    id: string,
    behaviour: Behaviour,
    host = '127.0.0.1',
    port = 0,
  ): Promise<PlatformEngine> {
    const server = createServer();
    const engine = new PlatformEngine(id, server);
    server.on('connection', (socket: Socket) => {
      socket.once('error', ({ code }: NodeJS.ErrnoException) => {
        if (code === 'ECONNRESET') engine.clientResets += 1;
      });
    });
    server.on('request', (request: IncomingMessage, response: ServerResponse) => {
      request.resume();
      engine.receivedHeaders.push(request.headers);
      if (behaviour !== Behaviours.refuses) {
        engine.startedRequestIds.push(String(request.headers['laburnumstream-request-id']));
      }
      response.once('close', () => {
        if (!response.writableFinished) engine.clientDisconnects += 1;
      });
      void behaviour(request, response, engine);
    });
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(port, host, () => resolve());
    });
    return engine;
  }

  /** IP:PORT */
  get address(): string {
    const { address, port } = this.server.address() as AddressInfo;
    return `${address}:${port}`;
  }

  /** Closes all connections, as a crash does. */
  closeConnections(): void {
    this.server.closeAllConnections();
  }

  close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }
}
