import {
  Aborted,
  ConnectTimeout,
  Failure,
  OutcomeUnknown,
  OrderRefused,
  StaleOrder,
  createTimeoutSignal,
  Unavailable,
} from '@laburnumstream/common';
import type {
  EngineOrder,
  Generation,
  LoadReport,
  ModelEngine,
  Token,
} from '@laburnumstream/common';
import { HttpClient } from './httpClient.js';
import { splitLines } from './splitLines.js';

const retryAfterMs = 500;
/** Timeout for orders, which include loading weights, in milliseconds. */
const orderTimeoutMs = 60_000;

/** One line of an engine's response stream. */
interface EngineLine {
  readonly index?: number;
  readonly text?: string;
  readonly end?: boolean;
}

/** Whether no connection was established, so that the request was not executed. */
function isConnectFailure(cause: unknown): boolean {
  const { code } = (cause ?? {}) as { code?: string };
  return code === 'ECONNREFUSED' || cause instanceof ConnectTimeout;
}

/** Creates the failure of a call to an endpoint, depending on whether a connection was established. */
export function toEndpointFailure(message: string, cause: unknown): Failure {
  return isConnectFailure(cause)
    ? new Unavailable(message, retryAfterMs, cause)
    : new OutcomeUnknown(message, cause);
}

/** Client of a model engine over HTTP; responses are streams of newline-delimited JSON. */
export class HttpModelEngine implements ModelEngine {
  private readonly client: HttpClient;

  constructor(
    baseUrl: string,
    timeoutMs: number,
    /** Called when the endpoint closes or resets a connection. */
    onConnectionLoss?: () => void,
  ) {
    this.client = new HttpClient(baseUrl, timeoutMs, toEndpointFailure, 256, onConnectionLoss);
  }

  async *generate(generation: Generation, signal: AbortSignal): AsyncIterable<Token> {
    const body = JSON.stringify(generation);
    const path = '/generate';
    const response = await this.client.stream({ method: 'POST', path, body, signal });
    if (response.status !== 200) {
      response.body.cancel();
      if (response.status === 503)
        throw new Unavailable('The engine has no weights loaded.', retryAfterMs);
      throw new OutcomeUnknown(`The engine answered ${response.status}.`);
    }
    let hasEnded = false;
    try {
      // Hot path: allocates one small object per token.
      for await (const line of splitLines(response.body)) {
        const { index, text, end } = JSON.parse(line) as EngineLine;
        if (end) hasEnded = true;
        else yield { index: index ?? 0, text: text ?? '' };
      }
    } catch (error) {
      if (signal.aborted) throw new Aborted();
      if (error instanceof Failure) throw error;
      throw new OutcomeUnknown(`The engine's stream broke: ${String(error)}`, error);
    }
    if (!hasEnded) throw new OutcomeUnknown("The engine's stream ended without its end mark.");
  }

  async cancel(id: string, signal?: AbortSignal): Promise<void> {
    await this.client.send({ method: 'DELETE', path: `/generate/${id}`, signal });
  }

  async getLoadReport(signal?: AbortSignal): Promise<LoadReport> {
    const { status, body } = await this.client.send({ method: 'GET', path: '/load', signal });
    if (status !== 200) throw new Unavailable(`The engine answered ${status}.`, retryAfterMs);
    return JSON.parse(body.toString()) as LoadReport;
  }

  async order(order: EngineOrder, signal?: AbortSignal): Promise<void> {
    const { status, body } = await this.client.send({
      method: 'POST',
      path: '/orders',
      body: JSON.stringify(order),
      timeoutMs: orderTimeoutMs,
      signal: signal ?? createTimeoutSignal(orderTimeoutMs),
    });
    if (status === 409) throw new StaleOrder('The engine has seen a higher fencing number.');
    if (status !== 200) {
      throw new OrderRefused(`The engine refused the order: ${body.toString()}`);
    }
  }
}
