import { Unavailable } from '@laburnumstream/common';
import type { LoadReport, PlainResponse, PlainCall, PlainService } from '@laburnumstream/common';
import { HttpClient } from './httpClient.js';
import { toEndpointFailure } from './httpModelEngine.js';

const retryAfterMs = 500;

/** Client of a plain service over HTTP. */
export class HttpPlainService implements PlainService {
  private readonly client: HttpClient;

  constructor(
    baseUrl: string,
    private readonly timeoutMs: number,
    /** Called when the endpoint closes or resets a connection. */
    onConnectionLoss?: () => void,
  ) {
    this.client = new HttpClient(baseUrl, timeoutMs, toEndpointFailure, 64, onConnectionLoss);
  }

  async call(call: PlainCall, signal: AbortSignal): Promise<PlainResponse> {
    const { status, body } = await this.client.send({
      method: call.method,
      path: `/calls${call.path}`,
      ...(call.body ? { body: call.body } : {}),
      timeoutMs: this.timeoutMs,
      signal,
    });
    return { status, body: body.toString() };
  }

  async getLoadReport(signal?: AbortSignal): Promise<LoadReport> {
    const { status, body } = await this.client.send({ method: 'GET', path: '/load', signal });
    if (status !== 200) throw new Unavailable(`The service answered ${status}.`, retryAfterMs);
    return JSON.parse(body.toString()) as LoadReport;
  }
}
