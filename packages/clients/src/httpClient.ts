import { Pool } from 'undici';
import type { Dispatcher } from 'undici';
import { Aborted, ConnectionReset, StoreUnavailable, timeLimit } from '@laburnumstream/common';
import type { Failure } from '@laburnumstream/common';
import { connectorWith } from '@laburnumstream/runtime';

/** A response with its whole body. */
export interface Response {
  readonly status: number;
  readonly body: Buffer;
}

/** A request of {@link HttpClient}. */
export interface Request {
  readonly method: Dispatcher.HttpMethod;
  readonly path: string;
  readonly body?: string | Buffer;
  readonly timeoutMs?: number;
  readonly signal?: AbortSignal | undefined;
}

/** Makes the failure for a connection that broke or never came to be. */
export type ConnectionFailure = (message: string, cause: unknown) => Failure;

const storeUnavailable: ConnectionFailure = (message, cause) =>
  new StoreUnavailable(message, cause);

/** Code of connections that the peer closed, unlike those closed by this side. */
const closedCode = 'UND_ERR_SOCKET';

function isLoss(error: Error): boolean {
  return error instanceof ConnectionReset || (error as { code?: string }).code === closedCode;
}

/** A small JSON and bytes client over one pool of connections. */
export class HttpClient {
  private readonly pool: Pool;

  private readonly prefix: string;

  constructor(
    baseUrl: string,
    private readonly timeoutMs: number,
    private readonly failure: ConnectionFailure = storeUnavailable,
    connections = 16,
    onLoss?: () => void,
  ) {
    const url = new URL(baseUrl);
    this.prefix = url.pathname.replace(/\/$/, '');
    this.pool = new Pool(url.origin, { connections, pipelining: 1, connect: connectorWith() });
    if (!onLoss) return;
    this.pool.on('disconnect', (_origin, _targets, error) => {
      if (isLoss(error)) onLoss();
    });
  }

  /** Sends a request and reads the whole response; throws the client's connection failure. */
  async send(request: Request): Promise<Response> {
    const signal = timeLimit(request.timeoutMs ?? this.timeoutMs, request.signal);
    try {
      const { statusCode, body } = await this.pool.request({
        method: request.method,
        path: this.prefix + request.path,
        body: request.body ?? null,
        signal,
      });
      return { status: statusCode, body: Buffer.from(await body.arrayBuffer()) };
    } catch (error) {
      if (request.signal?.aborted) throw new Aborted();
      throw this.failure(`${request.method} ${request.path} failed: ${String(error)}`, error);
    }
  }

  /** Sends a request and returns the body as a stream of bytes. */
  async stream(request: Request): Promise<{ status: number; body: AsyncIterable<Buffer> }> {
    try {
      const { statusCode, body } = await this.pool.request({
        method: request.method,
        path: this.prefix + request.path,
        body: request.body ?? null,
        signal: request.signal ?? null,
        bodyTimeout: request.timeoutMs ?? this.timeoutMs,
        headersTimeout: request.timeoutMs ?? this.timeoutMs,
      });
      return { status: statusCode, body };
    } catch (error) {
      if (request.signal?.aborted) throw new Aborted();
      throw this.failure(`${request.method} ${request.path} failed: ${String(error)}`, error);
    }
  }

  close(): Promise<void> {
    return this.pool.destroy();
  }
}
