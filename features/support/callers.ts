import { Agent, request as httpRequest } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { platformHost } from './platformFleet.js';

/** The outcome of one request as its caller sees it. */
export interface CallerResult {
  readonly id: string;
  /** HTTP status; 0 when there was no complete response. */
  readonly status: number;
  readonly ms: number;
  /** Message of the error that left the request without a complete response; otherwise empty. */
  readonly fault: string;
}

const secondMs = 1_000;
/** Maximum concurrent connections; fewer than the backlog of a listening socket. */
const maxConnections = 400;

/** HTTP client of one entry with persistent connections. */
export class Callers {
  private readonly agent = new Agent({ keepAlive: true, maxSockets: maxConnections });

  constructor(
    /** IP:PORT */
    readonly address: string,
    private readonly key = 'key-1',
  ) {}

  send(path: string, id: string): Promise<CallerResult> {
    const [host, port] = this.address.split(':');
    const startedAt = performance.now();
    const headers = {
      host: platformHost,
      authorization: `Bearer ${this.key}`,
      'laburnumstream-request-id': id,
      'content-length': '0',
    };
    return new Promise((resolve) => {
      const end = (status: number, fault = ''): void =>
        resolve({ id, status, ms: performance.now() - startedAt, fault });
      const sent = httpRequest({ host, port, path, method: 'POST', agent: this.agent, headers });
      sent.once('response', (response) => {
        response
          .once('end', () => end(response.statusCode!))
          .once('error', ({ message }) => end(0, message));
        response.resume();
      });
      sent.once('error', ({ message }) => end(0, message));
      sent.end();
    });
  }

  /** Sends `count` requests at a fixed rate (an open loop: it doesn't wait for responses). */
  async flood(path: string, count: number, perSecond: number): Promise<CallerResult[]> {
    const startedAt = performance.now();
    const results: Promise<CallerResult>[] = [];
    while (results.length < count) {
      const due = ((performance.now() - startedAt) / secondMs) * perSecond;
      while (results.length < Math.min(count, due)) {
        results.push(this.send(path, `flood-${results.length}`));
      }
      await sleep(1);
    }
    return Promise.all(results);
  }

  close(): void {
    this.agent.destroy();
  }
}
