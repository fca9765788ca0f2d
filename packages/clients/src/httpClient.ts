import { Pool } from 'undici';
import type { Dispatcher } from 'undici';
import {
  Aborted,
  ConnectionReset,
  StoreUnavailable,
  createTimeoutSignal,
} from '@laburnumstream/common';
import type { Failure } from '@laburnumstream/common';
import { createConnector, openResponse, readResponseBody } from '@laburnumstream/runtime';
import type { OpenResponse } from '@laburnumstream/runtime';

/** Maximum size of a response's body that is read as a whole, in bytes. */
const maxBodyBytes = 33_554_432;

/** A response with its complete body. */
export interface HttpResponse {
  readonly status: number;
  readonly body: Buffer;
}

/** A request to be sent by {@link HttpClient}. */
export interface HttpRequest {
  readonly method: Dispatcher.HttpMethod;
  readonly path: string;
  readonly body?: string | Buffer;
  readonly timeoutMs?: number;
  readonly signal?: AbortSignal | undefined;
}

/** Creates the failure for a request whose connection failed or was never established. */
export type ConnectionFailureFactory = (message: string, cause: unknown) => Failure;

const createStoreUnavailable: ConnectionFailureFactory = (message, cause) =>
  new StoreUnavailable(message, cause);

/** Error code of connections closed by the peer; undici uses other codes for those it closes itself. */
const socketClosedCode = 'UND_ERR_SOCKET';

function isConnectionLoss(error: Error): boolean {
  return error instanceof ConnectionReset || (error as { code?: string }).code === socketClosedCode;
}

/** A minimal HTTP client with one connection pool. */
export class HttpClient {
  private readonly pool: Pool;

  private readonly prefix: string;

  constructor(
    baseUrl: string,
    private readonly timeoutMs: number,
    private readonly createFailure: ConnectionFailureFactory = createStoreUnavailable,
    connections = 16,
    onConnectionLoss?: () => void,
  ) {
    const url = new URL(baseUrl);
    this.prefix = url.pathname.replace(/\/$/, '');
    this.pool = new Pool(url.origin, { connections, pipelining: 1, connect: createConnector() });
    if (!onConnectionLoss) return;
    this.pool.on('disconnect', (_origin, _targets, error) => {
      if (isConnectionLoss(error)) onConnectionLoss();
    });
  }

  /** Sends a request and reads the complete response; throws the client's connection failure. */
  async send(request: HttpRequest): Promise<HttpResponse> {
    const signal = createTimeoutSignal(request.timeoutMs ?? this.timeoutMs, request.signal);
    try {
      const { status, body } = await openResponse(this.pool, this.toOptions(request), signal);
      return { status, body: await readResponseBody(body, maxBodyBytes) };
    } catch (error) {
      throw this.toFailure(request, error);
    }
  }

  /** Sends a request and returns the response with its body as a stream, to be read or cancelled. */
  async stream(request: HttpRequest): Promise<OpenResponse> {
    const timeoutMs = request.timeoutMs ?? this.timeoutMs;
    const timeouts = { bodyTimeout: timeoutMs, headersTimeout: timeoutMs };
    const options = { ...this.toOptions(request), ...timeouts };
    try {
      return await openResponse(this.pool, options, request.signal);
    } catch (error) {
      throw this.toFailure(request, error);
    }
  }

  close(): Promise<void> {
    return this.pool.destroy();
  }

  private toOptions({ method, path, body }: HttpRequest): Dispatcher.DispatchOptions {
    return { method, path: this.prefix + path, body: body ?? null };
  }

  private toFailure({ method, path, signal }: HttpRequest, error: unknown): Failure {
    if (signal?.aborted) return new Aborted();
    return this.createFailure(`${method} ${path} failed: ${String(error)}`, error);
  }
}
