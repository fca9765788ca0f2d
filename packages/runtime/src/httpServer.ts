import { createServer } from 'node:http';
import type { IncomingMessage, RequestListener, Server, ServerResponse } from 'node:http';
import { InvalidInput, TooLarge, collectBytes, toFailure } from '@laburnumstream/common';
import type { Failure } from '@laburnumstream/common';

/** Parses an IP:PORT address. */
export function parseAddress(address: string): { host: string; port: number } {
  const [host = '', port = '0'] = address.split(':');
  return { host, port: Number(port) };
}

/** Starts listening with a server; it closes, with all its connections, on abort. */
export function startListening(
  server: Server,
  { host, port }: { readonly host: string; readonly port: number },
  signal: AbortSignal,
): Promise<Server> {
  signal.addEventListener('abort', () => {
    server.close();
    server.closeIdleConnections();
    server.closeAllConnections();
  });
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => resolve(server));
  });
}

/** Starts an HTTP server on an IP:PORT address; it closes, with all its connections, on abort. */
export function listen(
  address: string,
  listener: RequestListener,
  signal: AbortSignal,
): Promise<Server> {
  return startListening(createServer({ keepAlive: true }, listener), parseAddress(address), signal);
}

/** Reads a request's body as UTF-8; throws `TooLarge` if it exceeds `maxBytes`. */
export async function readBody(request: IncomingMessage, maxBytes: number): Promise<string> {
  const createError = (): TooLarge => new TooLarge(`The body is larger than ${maxBytes} bytes.`);
  const bytes = await collectBytes(request as AsyncIterable<Buffer>, maxBytes, createError);
  return bytes.toString('utf8');
}

/** Parses a JSON object; throws `InvalidInput` for anything else. */
export function parseObject(text: string): Record<string, unknown> {
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch {
    throw new InvalidInput('The body is not valid JSON.');
  }
  if (typeof value !== 'object' || value === null || Array.isArray(value)) {
    throw new InvalidInput('The body is not a JSON object.');
  }
  return value as Record<string, unknown>;
}

/** The JSON body of an error response. */
export function failureBody(failure: Failure): { error: Record<string, unknown> } {
  const { type, message, execution, retryAfterMs } = failure;
  return { error: { type, message, execution, retryAfterMs: retryAfterMs ?? null } };
}

const secondMs = 1_000;

/** Sends a JSON response; closes the connection if a response has already been started. */
export function sendJson(response: ServerResponse, status: number, body: unknown): void {
  if (response.headersSent) {
    response.destroy();
    return;
  }
  const text = JSON.stringify(body);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  response.end(text);
}

/** Sends an error response, with a `retry-after` header if the failure is retryable. */
export function sendFailure(response: ServerResponse, error: unknown): void {
  const failure = toFailure(error);
  if (failure.retryAfterMs !== undefined && !response.headersSent) {
    response.setHeader('retry-after', Math.max(1, Math.ceil(failure.retryAfterMs / secondMs)));
  }
  sendJson(response, failure.status, failureBody(failure));
}

/** The bearer token of a request, or an empty string. */
export function getBearerToken(request: IncomingMessage): string {
  const header = request.headers.authorization ?? '';
  return header.startsWith('Bearer ') ? header.slice('Bearer '.length) : '';
}
