import { Agent, request as httpRequest } from 'node:http';
import type { ClientRequest, IncomingMessage } from 'node:http';
import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { platformHost } from './platformFleet.js';
import type { StopFleet } from './stopFleet.js';
import { workParameter } from './stopFleet.js';

/** A request to a fleet whose entry is stopped. */
export interface StopRequest {
  readonly route: 'safe' | 'unsafe' | 'stream';
  /** Time for which its engine works, in milliseconds. */
  readonly workMs: number;
  readonly deadlineMs: number;
  /** Agent with the kept connection that it is sent on; a new connection by default. */
  readonly agent?: Agent;
  /** Length of the body that is announced, if it is not the length of what is sent. */
  readonly announcedBytes?: number;
}

/** How a request ended for its caller. Times are monotonic, in milliseconds. */
export interface StopOutcome {
  readonly id: string;
  readonly sentAt: number;
  /** Time at which its connection was there; undefined without one. */
  readonly connectedAt: number | undefined;
  /** Time at which its last byte was handed to the operating system; undefined before it. */
  readonly writtenAt: number | undefined;
  readonly endedAt: number;
  /** Time by which its caller wanted the whole response. */
  readonly deadlineAt: number;
  /** 0 if there was no response. */
  readonly status: number;
  readonly body: string;
  readonly isWhole: boolean;
  readonly retryAfter: string | undefined;
  /** Whether the response says that the connection closes. */
  readonly closesConnection: boolean;
  /** Code of the error that ended it, or an empty string. */
  readonly error: string;
}

const body = 'body';
/** Pause of a caller after a response, in milliseconds. */
const pauseMs = 20;

let lastId = 0;

/** Where requests are sent. */
type Destination = Pick<StopFleet, 'callerAddress'>;

function open(fleet: Destination, id: string, request: StopRequest): ClientRequest {
  const [host, port] = fleet.callerAddress.split(':');
  return httpRequest({
    host,
    port,
    agent: request.agent ?? false,
    method: 'POST',
    // Requests with the same path and body count as one that its caller repeats.
    path: `/${request.route}/${id}?${workParameter}=${request.workMs}`,
    headers: {
      host: platformHost,
      authorization: 'Bearer key-1',
      'laburnumstream-request-id': id,
      'laburnumstream-deadline-ms': String(request.deadlineMs),
      'content-length': String(request.announcedBytes ?? body.length),
    },
  });
}

/** Times of what has become of a request on its connection, on the monotonic clock in milliseconds. */
interface SendTimes {
  connectedAt?: number;
  writtenAt?: number;
}

function recordTimes(sent: ClientRequest): SendTimes {
  const times: SendTimes = {};
  const connected = (): void => {
    times.connectedAt = performance.now();
  };
  sent.once('socket', (socket) => {
    if (socket.connecting) socket.once('connect', connected);
    else connected();
  });
  sent.once('finish', () => {
    times.writtenAt = performance.now();
  });
  return times;
}

function readResponse(response: IncomingMessage): Promise<string> {
  return new Promise((resolve) => {
    let text = '';
    response.setEncoding('utf8');
    response.on('data', (part: string) => {
      text += part;
    });
    response.once('end', () => resolve(text));
    response.once('error', () => resolve(text));
  });
}

/** Sends a request and waits for its end, whatever it is. */
export async function sendStopRequest(
  fleet: Destination,
  request: StopRequest,
): Promise<StopOutcome> {
  lastId += 1;
  const id = `stop-${lastId}`;
  const sentAt = performance.now();
  const sent = open(fleet, id, request);
  const times = recordTimes(sent);
  const answered = new Promise<IncomingMessage | string>((resolve) => {
    sent.once('response', resolve);
    sent.on('error', (error: NodeJS.ErrnoException) => resolve(error.code ?? error.message));
  });
  if (request.announcedBytes === undefined) sent.end(body);
  else sent.write(body);
  const answer = await answered;
  const isError = typeof answer === 'string';
  const text = isError ? '' : await readResponse(answer);
  return {
    id,
    sentAt,
    connectedAt: times.connectedAt,
    writtenAt: times.writtenAt,
    endedAt: performance.now(),
    deadlineAt: sentAt + request.deadlineMs,
    status: isError ? 0 : answer.statusCode!,
    body: text,
    isWhole: !isError && answer.complete,
    retryAfter: isError ? undefined : answer.headers['retry-after'],
    closesConnection: !isError && answer.headers.connection === 'close',
    error: isError ? answer : '',
  };
}

/**
 * Sends requests one after the other on a kept connection, and on a new one after it was closed, until
 * the process is gone.
 */
export async function callUntilGone(
  fleet: StopFleet,
  next: () => Omit<StopRequest, 'agent'>,
): Promise<StopOutcome[]> {
  const agent = new Agent({ keepAlive: true, maxSockets: 1 });
  const outcomes: StopOutcome[] = [];
  while (fleet.program.isRunning) {
    outcomes.push(await sendStopRequest(fleet, { ...next(), agent }));
    await sleep(pauseMs);
  }
  agent.destroy();
  return outcomes;
}

/** Sends a request on a new connection at each interval until the process is gone. */
export async function callRegularly(
  fleet: StopFleet,
  intervalMs: number,
  next: () => StopRequest,
): Promise<StopOutcome[]> {
  const sent: Promise<StopOutcome>[] = [];
  while (fleet.program.isRunning) {
    sent.push(sendStopRequest(fleet, next()));
    await sleep(intervalMs);
  }
  return Promise.all(sent);
}

/** Returns the head of a request to send on a socket. */
export function createRequestText(id: string, { deadlineMs = 1_500, bodyBytes = 0 } = {}): string {
  const lines = [
    `POST /unsafe/${id}?work=300 HTTP/1.1`,
    `host: ${platformHost}`,
    'authorization: Bearer key-1',
    `laburnumstream-request-id: ${id}`,
    `laburnumstream-deadline-ms: ${deadlineMs}`,
    `content-length: ${bodyBytes}`,
  ];
  return `${lines.join('\r\n')}\r\n\r\n`;
}

/** Opens a connection to the entry; its errors are ignored. */
export function openSocket(fleet: StopFleet): Socket {
  const [host, port] = fleet.callerAddress.split(':');
  return connect({ host: host!, port: Number(port) }).on('error', () => undefined);
}
