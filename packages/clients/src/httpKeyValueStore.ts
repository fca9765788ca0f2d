import { Conflict, NotFound, StoreUnavailable } from '@laburnumstream/common';
import type { KeyValueStore, StoredValue, WriteCondition } from '@laburnumstream/common';
import { HttpClient } from './httpClient.js';
import type { HttpRequest, HttpResponse } from './httpClient.js';

/** Time added to a watch's duration for its request timeout, in milliseconds. */
const watchGraceMs = 2_000;

const toPath = (key: string): string => `/kv/${encodeURIComponent(key)}`;

function parse<Value>(response: HttpResponse): Value {
  try {
    return JSON.parse(response.body.toString()) as Value;
  } catch (error) {
    throw new StoreUnavailable('The key-value service sent no valid JSON.', error);
  }
}

/** Client of the platform's key-value service over HTTP. */
export class HttpKeyValueStore implements KeyValueStore {
  private readonly client: HttpClient;

  constructor(baseUrl: string, timeoutMs: number) {
    this.client = new HttpClient(baseUrl, timeoutMs);
  }

  async get(key: string, signal?: AbortSignal): Promise<StoredValue | undefined> {
    const response = await this.send({ method: 'GET', path: toPath(key), signal }, [200, 404]);
    return response.status === 404 ? undefined : parse<StoredValue>(response);
  }

  async list(prefix: string, signal?: AbortSignal): Promise<readonly StoredValue[]> {
    const path = `/kv?prefix=${encodeURIComponent(prefix)}`;
    return parse(await this.send({ method: 'GET', path, signal }, [200]));
  }

  async put(
    key: string,
    value: string,
    condition: WriteCondition,
    signal?: AbortSignal,
  ): Promise<number> {
    const query = new URLSearchParams();
    if (condition.ifRevision !== undefined) query.set('ifRevision', String(condition.ifRevision));
    if (condition.lease) query.set('lease', condition.lease);
    const path = `${toPath(key)}?${query.toString()}`;
    const response = await this.send({ method: 'PUT', path, body: value, signal }, [200, 404, 409]);
    if (response.status === 409) throw new Conflict(`The value of ${key} changed meanwhile.`);
    if (response.status === 404) throw new NotFound(`The lease for ${key} has ended.`);
    return parse<{ revision: number }>(response).revision;
  }

  async remove(key: string, ifRevision?: number, signal?: AbortSignal): Promise<void> {
    const query = ifRevision === undefined ? '' : `?ifRevision=${ifRevision}`;
    const path = `${toPath(key)}${query}`;
    const response = await this.send({ method: 'DELETE', path, signal }, [200, 404, 409]);
    if (response.status === 409) throw new Conflict(`The value of ${key} changed meanwhile.`);
  }

  async watch(
    key: string,
    after: number,
    waitMs: number,
    signal?: AbortSignal,
  ): Promise<StoredValue | undefined> {
    const path = `${toPath(key)}?after=${after}&waitMs=${waitMs}`;
    const timeoutMs = waitMs + watchGraceMs;
    const response = await this.send({ method: 'GET', path, timeoutMs, signal }, [200, 204]);
    return response.status === 204 ? undefined : parse<StoredValue>(response);
  }

  async grantLease(ttlMs: number, signal?: AbortSignal): Promise<string> {
    const path = `/leases?ttlMs=${ttlMs}`;
    const response = await this.send({ method: 'POST', path, signal }, [200]);
    return parse<{ lease: string }>(response).lease;
  }

  async renewLease(lease: string, signal?: AbortSignal): Promise<void> {
    const path = `/leases/${lease}`;
    const response = await this.send({ method: 'PUT', path, signal }, [200, 404]);
    if (response.status === 404) throw new NotFound(`The lease ${lease} has ended.`);
  }

  async revokeLease(lease: string, signal?: AbortSignal): Promise<void> {
    await this.send({ method: 'DELETE', path: `/leases/${lease}`, signal }, [200, 404]);
  }

  private async send(request: HttpRequest, expected: readonly number[]): Promise<HttpResponse> {
    const response = await this.client.send(request);
    if (expected.includes(response.status)) return response;
    throw new StoreUnavailable(`The key-value service answered ${response.status}.`);
  }
}
