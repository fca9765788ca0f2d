import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

/** How an engine deals with one request. */
export type Behaviour = (
  request: IncomingMessage,
  response: ServerResponse,
  engine: PlatformEngine,
) => void | Promise<void>;

const eventGapMs = 15;
const delayMs = 100;

/** Heads an answer as an engine of the platform does. */
export function head(
  request: IncomingMessage,
  engine: Pick<PlatformEngine, 'id'>,
): Record<string, string> {
  return {
    'laburnumstream-request-id': String(request.headers['laburnumstream-request-id']),
    'laburnumstream-server-seal': `seal.${engine.id}`,
  };
}

function eventOf(id: number): string {
  return `id: ${id}\ndata: token ${id}\n\n`;
}

/** Streams events from the one after `Last-Event-Id` to `last`, and ends. */
export function streams(last: number, before?: (id: number) => Promise<void>): Behaviour {
  return async (request, response, engine) => {
    response.writeHead(200, { ...head(request, engine), 'content-type': 'text/event-stream' });
    const first = Number(request.headers['last-event-id'] ?? 0) + 1;
    for (let id = first; id <= last && !response.destroyed; id += 1) {
      await before?.(id);
      response.write(eventOf(id));
      await sleep(eventGapMs);
    }
    response.end();
  };
}

/** Begins an answer that names neither a length nor chunks. */
function beginUnframed(request: IncomingMessage, engine: PlatformEngine, type: string): void {
  const headers = Object.entries({ ...head(request, engine), 'content-type': type });
  const lines = headers.map(([name, value]) => `${name}: ${value}\r\n`);
  request.socket.write(`HTTP/1.1 200 OK\r\n${lines.join('')}Connection: close\r\n\r\n`);
}

/** Streams the first five events and a part of the sixth, without a length or chunks, and ends. */
function cutStream(end: (socket: Socket) => void): Behaviour {
  return (request, _response, engine) => {
    const { socket } = request;
    beginUnframed(request, engine, 'text/event-stream');
    const whole = [1, 2, 3, 4, 5].map(eventOf).join('');
    socket.write(`${whole}${eventOf(6).slice(0, 8)}`);
    end(socket);
  };
}

/** Answers with a body. */
export function answers(body: string): Behaviour {
  return (request, response, engine) => {
    response.writeHead(200, head(request, engine));
    response.end(body);
  };
}

/** Behaviours with a name that tests use. */
export const Behaviours = {
  answers: answers('whole answer'),
  /** Runs the request and breaks the connection. */
  breaks: (request) => {
    request.socket.resetAndDestroy();
  },
  /** Refuses without running. */
  refuses: (_request, response) => {
    response.writeHead(503, { 'laburnumstream-not-executed': '1' });
    response.end();
  },
  /** Runs the request and never answers. */
  hangs: () => undefined,
  /** Answers after a while. */
  delays: async (request, response, engine) => {
    await sleep(delayMs);
    answers('whole answer')(request, response, engine);
  },
  streams: streams(12),
  /** Stops in the middle of the sixth event. */
  stops: async (request, response, engine) => {
    response.writeHead(200, { ...head(request, engine), 'content-type': 'text/event-stream' });
    for (let id = 1; id <= 5; id += 1) response.write(eventOf(id));
    response.write('id: 6\nda');
    await sleep(eventGapMs);
    request.socket.resetAndDestroy();
  },
  /** Resets the connection within an answer without a length, right after its first bytes. */
  resetsAnswer: (request, _response, engine) => {
    beginUnframed(request, engine, 'text/plain');
    request.socket.write('whole an');
    request.socket.resetAndDestroy();
  },
  /** The same within a stream. */
  resetsStream: cutStream((socket) => socket.resetAndDestroy()),
  /** Closes the connection within an event of a stream without a length. */
  endsWithinEvent: cutStream((socket) => socket.end()),
  /** Streams without a length or chunks. */
  endsUnframed: (request, _response, engine) => {
    beginUnframed(request, engine, 'text/event-stream');
    for (let id = 1; id <= 12; id += 1) request.socket.write(eventOf(id));
    request.socket.end();
  },
  /** Is silent for long in the middle of a stream, and goes on. */
  pauses: streams(12, (id) => sleep(id === 6 ? 1_300 : 0)),
} as const satisfies Record<string, Behaviour>;

/** An engine, or another server of a service, on the users' platform. */
export class PlatformEngine {
  /** Requests that it began to run, by their ids. */
  readonly ran: string[] = [];

  /** Headers of the requests that came. */
  readonly seen: IncomingMessage['headers'][] = [];

  /** Connections that callers closed while a request ran. */
  left = 0;

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
    server.on('request', (request: IncomingMessage, response: ServerResponse) => {
      request.resume();
      engine.seen.push(request.headers);
      if (behaviour !== Behaviours.refuses) {
        engine.ran.push(String(request.headers['laburnumstream-request-id']));
      }
      response.once('close', () => {
        if (!response.writableFinished) engine.left += 1;
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

  /** Breaks every connection, as a crash does. */
  closeConnections(): void {
    this.server.closeAllConnections();
  }

  close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }
}
