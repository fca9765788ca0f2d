import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';

/** Faults that can be injected into every stand-in. */
export interface Faults {
  /** Closes every connection without a response. */
  down: boolean;
  /** Delay before each request is handled, in milliseconds. */
  delayMs: number;
  /** Share of requests that take effect but whose response is lost, from 0 to 1. */
  loseAnswers: number;
}

/** Base class of the HTTP stand-ins: a server with injectable faults. */
export abstract class HttpStandIn {
  readonly faults: Faults = { down: false, delayMs: 0, loseAnswers: 0 };

  private readonly server: Server;

  private port = 0;

  constructor() {
    this.server = createServer({ keepAlive: true }, (request, response) => {
      this.serve(request, response).catch(() => response.destroy());
    });
    this.server.keepAliveTimeout = 60_000;
  }

  get address(): string {
    return `http://127.0.0.1:${this.port}`;
  }

  /** Listens on a port of 127.0.0.1; 0 selects a free port. */
  async start(port = 0): Promise<this> {
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, '127.0.0.1', resolve);
    });
    const address = this.server.address();
    this.port = typeof address === 'object' && address ? address.port : port;
    return this;
  }

  /** Closes all connections, as a crash does. */
  closeConnections(): void {
    this.server.closeAllConnections();
  }

  async stop(): Promise<void> {
    this.closeConnections();
    await new Promise<void>((resolve) => {
      this.server.close(() => resolve());
    });
  }

  protected abstract handle(
    request: IncomingMessage,
    response: ServerResponse,
    url: URL,
    body: string,
  ): Promise<void> | void;

  protected send(response: ServerResponse, status: number, body: unknown = {}): void {
    if (this.faults.loseAnswers > 0 && Math.random() < this.faults.loseAnswers) {
      response.destroy();
      return;
    }
    response.writeHead(status, { 'content-type': 'application/json' });
    response.end(status === 204 ? undefined : JSON.stringify(body));
  }

  private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    if (this.faults.down) {
      request.socket.destroy();
      return;
    }
    const parts: Buffer[] = [];
    for await (const part of request as AsyncIterable<Buffer>) parts.push(part);
    if (this.faults.delayMs > 0) await sleep(this.faults.delayMs);
    const url = new URL(request.url ?? '/', 'http://stand-in');
    await this.handle(request, response, url, Buffer.concat(parts).toString());
  }
}
