import { Unavailable } from '@laburnumstream/common';
import type { Instance, InstanceList } from '@laburnumstream/common';
import { HttpClient } from './httpClient.js';

const retryAfterMs = 1_000;

/** Reads the platform's instance list over HTTP. */
export class HttpInstanceList implements InstanceList {
  private readonly client: HttpClient;

  constructor(baseUrl: string, timeoutMs: number) {
    const failure = (message: string, cause: unknown) =>
      new Unavailable(message, retryAfterMs, cause);
    this.client = new HttpClient(baseUrl, timeoutMs, failure, 1);
  }

  async list(signal?: AbortSignal): Promise<readonly Instance[]> {
    const { status, body } = await this.client.send({ method: 'GET', path: '/instances', signal });
    if (status !== 200) throw new Unavailable(`The list answered ${status}.`, retryAfterMs);
    return JSON.parse(body.toString()) as Instance[];
  }
}
