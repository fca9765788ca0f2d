import { randomUUID } from 'node:crypto';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { HttpStandIn } from './httpStandIn.js';

/** One execution of a call by a plain service. */
export interface PlainRun {
  readonly method: string;
  readonly path: string;
  readonly body: string;
}

/** A stand-in for a plain (non-model) service that records its calls and echoes their bodies. */
export class PlainStandIn extends HttpStandIn {
  readonly runs: PlainRun[] = [];

  /** Execution time of each call, in milliseconds. */
  workMs = 0;

  /** Number of next calls that are executed but get no response. */
  dropNext = 0;

  private boot: string = randomUUID();

  private running = 0;

  /** Simulates a restart by changing the boot id. */
  restart(): void {
    this.boot = randomUUID();
  }

  protected override async handle(
    request: IncomingMessage,
    response: ServerResponse,
    url: URL,
    body: string,
  ): Promise<void> {
    if (url.pathname === '/load') {
      const { boot, running } = this;
      const report = { boot, running, queued: 0, capacity: 16, weights: '', adapters: [] };
      this.send(response, 200, { ...report, role: '' });
      return;
    }
    const { method = 'GET' } = request;
    const path = url.pathname.replace(/^\/calls/, '');
    this.running += 1;
    this.runs.push({ method, path, body });
    if (this.workMs > 0) await sleep(this.workMs);
    this.running -= 1;
    if (this.dropNext > 0) {
      this.dropNext -= 1;
      request.socket.destroy();
      return;
    }
    this.send(response, 200, { number: this.runs.length, path, echo: body });
  }
}
