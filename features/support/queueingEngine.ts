import { randomUUID } from 'node:crypto';
import { createServer as createHttpServer } from 'node:http';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { buildHeaders } from '@laburnumstream/standins';

/** Time between two passes of the engine, in milliseconds: a request begins at the next one at the earliest. */
const passMs = 30;
const eventCount = 3;
/** Header whose value tells which fleet a caller belongs to; entries forward it unchanged. */
export const fleetHeader = 'x-test-fleet';

/** A request at an engine; `at` is monotonic. */
export interface EngineRecord {
  readonly id: string;
  readonly at: number;
}

/**
 * An engine with a queue: a request begins there after a wait, unless its connection has closed until then.
 * While its instance stands still, connections are accepted and their bytes kept, but nothing is read.
 */
export class QueueingEngine {
  readonly arrivals: EngineRecord[] = [];

  /** Requests that began, at the time of their first token. */
  readonly begun: EngineRecord[] = [];

  /** Wait of a request in the queue, in milliseconds. */
  queueMs = 0;

  /** Value of the header that all requests of this engine's fleet carry. */
  readonly fleetId = randomUUID();

  private readonly sockets = new Set<Socket>();

  /** Connections of which nothing has been read. */
  private readonly unread: Socket[] = [];

  /** Whether its instance stands still. */
  isStill = false;

  private readonly http = createHttpServer((request, response) => {
    void this.respond(request, response);
  });

  private readonly server = createServer({ pauseOnConnect: true }, (socket) => {
    this.sockets.add(socket);
    socket.once('close', () => this.sockets.delete(socket));
    socket.on('error', () => undefined);
    if (this.isStill) this.unread.push(socket);
    else this.read(socket);
  });

  private constructor(readonly id: string) {}

  static async start(id: string): Promise<QueueingEngine> {
    const engine = new QueueingEngine(id);
    await new Promise<void>((resolve) => {
      engine.server.listen(0, '127.0.0.1', () => resolve());
    });
    return engine;
  }

  /** IP:PORT */
  get address(): string {
    const { address, port } = this.server.address() as AddressInfo;
    return `${address}:${port}`;
  }

  /** Lets the instance stand still until `wake`. */
  freeze(): void {
    this.isStill = true;
  }

  wake(): void {
    this.isStill = false;
    this.unread.splice(0).forEach((socket) => this.read(socket));
  }

  close(): void {
    this.server.close();
    this.sockets.forEach((socket) => socket.destroy());
  }

  private read(socket: Socket): void {
    this.http.emit('connection', socket);
    socket.resume();
  }

  private async respond(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const id = String(request.headers['laburnumstream-request-id']);
    request.resume();
    // Clients of a server that had this port before, in another test, may still call it.
    if (request.headers[fleetHeader] !== this.fleetId) {
      response.writeHead(404, { connection: 'close' }).end();
      return;
    }
    this.arrivals.push({ id, at: performance.now() });
    await sleep(Math.max(passMs, this.queueMs));
    if (request.socket.destroyed) return;
    this.begun.push({ id, at: performance.now() });
    // A connection carries one request, so that each one is sent on a connection of its own.
    const headers = { ...buildHeaders(request, this), connection: 'close' };
    if (!/^\/(stream|single)/.test(request.url!)) {
      response.writeHead(200, headers);
      response.end('whole answer');
      return;
    }
    response.writeHead(200, { ...headers, 'content-type': 'text/event-stream' });
    for (let event = 1; event <= eventCount; event += 1)
      response.write(`id: ${event}\ndata: token ${event}\n\n`);
    response.end();
  }
}
