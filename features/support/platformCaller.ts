import { request as httpRequest } from 'node:http';
import type { IncomingMessage } from 'node:http';
import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { platformHost } from './platformFleet.js';
import type { PlatformFleet } from './platformFleet.js';

/** A response as its caller received it. */
export interface CallerResponse {
  readonly status: number;
  readonly body: string;
  readonly isWhole: boolean;
  readonly headers: IncomingMessage['headers'];
}

/** Deadline that callers send with each request, in milliseconds. */
export const deadlineMs = 2_000;

let lastRequestId = 0;

/** The entry that a request is sent to. */
interface Destination {
  readonly settings: Pick<PlatformFleet['settings'], 'callerAddress'>;
}

/** What a request may have besides its path; `signal` aborts it. */
export interface RequestOptions {
  readonly method?: string;
  readonly key?: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
  readonly signal?: AbortSignal;
}

/** Sends a request with an API key and reads the response. */
export function sendRequest(
  { settings }: Destination,
  path: string,
  {
    method = 'POST',
    key = 'key-1',
    headers = {},
    body: content = 'body',
    signal,
  }: RequestOptions = {},
): Promise<CallerResponse> {
  lastRequestId += 1;
  const [host, port] = settings.callerAddress.split(':');
  return new Promise((resolve, reject) => {
    const sent = httpRequest(
      {
        host,
        port,
        path,
        method,
        ...(signal ? { signal } : {}),
        headers: {
          host: platformHost,
          authorization: `Bearer ${key}`,
          'laburnumstream-request-id': `r${lastRequestId}`,
          'laburnumstream-deadline-ms': String(deadlineMs),
          'content-length': String(Buffer.byteLength(content)),
          ...headers,
        },
      },
      (response) => {
        let body = '';
        response.setEncoding('utf8');
        response.on('data', (part: string) => {
          body += part;
        });
        const end = (): void =>
          resolve({
            status: response.statusCode!,
            body,
            isWhole: response.complete,
            headers: response.headers,
          });
        response.once('end', end);
        response.once('error', end);
      },
    );
    sent.once('error', reject);
    sent.end(content);
  });
}

/** Opens a connection to the entry and writes a raw request: request line, headers and body. */
export function sendRaw(
  { settings }: PlatformFleet,
  request: string,
  headers: readonly string[],
  body: string,
): Socket {
  lastRequestId += 1;
  const [host, port] = settings.callerAddress.split(':');
  const lines = [
    request,
    `Host: ${platformHost}`,
    'Authorization: Bearer key-1',
    `Laburnumstream-Request-Id: r${lastRequestId}`,
    `Laburnumstream-Deadline-Ms: ${deadlineMs}`,
    ...headers,
  ];
  const socket = connect(Number(port), host);
  socket.on('error', () => undefined);
  socket.write(`${lines.join('\r\n')}\r\n\r\n${body}`);
  return socket;
}
