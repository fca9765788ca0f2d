import { NotFound, Unavailable } from '@laburnumstream/common';
import type { Manifest, WeightOrigin } from '@laburnumstream/common';
import { validateManifest } from '@laburnumstream/decisions';
import { HttpClient } from './httpClient.js';

const retryAfterMs = 500;

/** Client of the weight origin over HTTP. */
export class HttpWeightOrigin implements WeightOrigin {
  private readonly client: HttpClient;

  constructor(baseUrl: string, timeoutMs: number) {
    const failure = (message: string, cause: unknown) =>
      new Unavailable(message, retryAfterMs, cause);
    this.client = new HttpClient(baseUrl, timeoutMs, failure);
  }

  async manifest(model: string, version: string, signal?: AbortSignal): Promise<Manifest> {
    const body = await this.read(`/models/${model}/versions/${version}/manifest`, signal);
    return validateManifest(JSON.parse(body.toString()));
  }

  chunk(model: string, version: string, index: number, signal?: AbortSignal): Promise<Uint8Array> {
    return this.read(`/models/${model}/versions/${version}/chunks/${index}`, signal);
  }

  private async read(path: string, signal?: AbortSignal): Promise<Buffer> {
    const { status, body } = await this.client.send({ method: 'GET', path, signal });
    if (status === 404) throw new NotFound(`The origin has no ${path}.`);
    if (status !== 200) throw new Unavailable(`The origin answered ${status}.`, retryAfterMs);
    return body;
  }
}
