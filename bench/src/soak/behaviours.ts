import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { buildHeaders } from '@laburnumstream/standins';
import { formatEvent, getEventCount, buildPlainBody } from './responses.js';
import { SoakService } from './shape.js';

const eventIntervalMs = 15;
const workMs = 12;

/** The engine that executes a request. */
export interface RunningEngine {
  readonly id: string;
  /** Version of its weights. */
  readonly version: number;
  crash(): void;
  /** Reports that the version of the weights changed during a run. */
  reportVersionChange(id: string, from: number, to: number): void;
}

/** One execution of a request by an engine. */
export interface Run {
  readonly id: string;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly engine: RunningEngine;
}

/** How an engine responds to a request that it executes. */
export type RunBehaviour = (run: Run) => void | Promise<void>;

/** How a response marks the end of its body. */
const Framing = { length: 'length', chunks: 'chunks', close: 'close' } as const;
type Framing = (typeof Framing)[keyof typeof Framing];

/**
 * Chooses a framing that says where the body ends. Bodies that are cut or followed by other bytes need one: no entry can
 * tell such a body from a whole one if it ends with its connection.
 */
function chooseDelimitedFraming(id: string): Framing {
  return id.endsWith('3') ? Framing.chunks : Framing.length;
}

/** Chooses the framing by the last digit of the request id, so that all kinds occur. */
function chooseFraming(id: string): Framing {
  return id.endsWith('7') ? Framing.close : chooseDelimitedFraming(id);
}

function writeHead({ request, response, engine }: Run, framing: Framing, length: number): void {
  const headers = buildHeaders(request, engine);
  if (framing === Framing.length) headers['content-length'] = String(length);
  if (framing === Framing.close) {
    response.useChunkedEncodingByDefault = false;
    response.shouldKeepAlive = false;
  }
  response.writeHead(200, headers);
}

/** Sends a complete response in two parts. */
async function respond(run: Run, framing = chooseFraming(run.id)): Promise<void> {
  await sleep(workMs);
  const body = buildPlainBody(run.id);
  const half = Math.floor(body.length / 2);
  writeHead(run, framing, body.length);
  run.response.write(body.slice(0, half));
  run.response.end(body.slice(half));
}

/** Streams the events after `Last-Event-Id`, up to `until`. */
async function streamEvents(
  { id, request, response, engine }: Run,
  until = Infinity,
): Promise<void> {
  const { version } = engine;
  const headers = { ...buildHeaders(request, engine), 'content-type': 'text/event-stream' };
  response.writeHead(200, { ...headers, 'laburnumstream-weight-versions': String(version) });
  const first = Number(request.headers['last-event-id'] ?? 0) + 1;
  const last = Math.min(until, getEventCount(id));
  for (let event = first; event <= last && !response.destroyed; event += 1) {
    if (engine.version !== version) engine.reportVersionChange(id, version, engine.version);
    response.write(formatEvent(id, event, version));
    await sleep(eventIntervalMs);
  }
  if (last === getEventCount(id)) response.end();
}

async function truncateResponse(run: Run): Promise<void> {
  await sleep(workMs);
  const body = buildPlainBody(run.id);
  writeHead(run, chooseDelimitedFraming(run.id), body.length);
  run.response.write(body.slice(0, Math.floor(body.length / 2)));
  await sleep(workMs);
  run.response.destroy();
}

/** Responses to send again when the next request arrives on their connection. */
const lateResponses = new WeakMap<Socket, string>();

/** Sends the pending duplicate response of a connection, if there is one. */
export function sendLateResponse(socket: Socket): void {
  const late = lateResponses.get(socket);
  lateResponses.delete(socket);
  if (late !== undefined && !socket.destroyed) socket.write(late);
}

async function respondTwice(run: Run): Promise<void> {
  const body = buildPlainBody(run.id);
  const seal = `Laburnumstream-Request-Id: ${run.id}\r\nLaburnumstream-Server-Seal: twice`;
  const text = `HTTP/1.1 200 OK\r\n${seal}\r\nContent-Length: ${body.length}`;
  lateResponses.set(run.request.socket, `${text}\r\n\r\n${body}`);
  await respond(run);
}

async function sendExtraBytes(run: Run): Promise<void> {
  const { socket } = run.request;
  await respond(run, chooseDelimitedFraming(run.id));
  if (!socket.destroyed) socket.write('more bytes');
}

async function sendInvalidResponse({ request }: Run): Promise<void> {
  await sleep(workMs);
  request.socket.end('no answer at all\r\n\r\n');
}

async function respondWithError({ request, response, engine }: Run): Promise<void> {
  await sleep(workMs);
  response.writeHead(500, buildHeaders(request, engine));
  response.end('failed');
}

async function disconnectBeforeResponse({ request }: Run): Promise<void> {
  await sleep(workMs);
  request.socket.destroy();
}

function hang(): void {}

async function crashEngine({ engine }: Run): Promise<void> {
  await sleep(workMs);
  engine.crash();
}

const eventsBeforeFault = 3;

async function truncateEvent(run: Run): Promise<void> {
  await streamEvents(run, eventsBeforeFault);
  run.response.write('id: 4\nda');
  await sleep(eventIntervalMs);
  run.response.destroy();
}

async function stallStream(run: Run): Promise<void> {
  await streamEvents(run, eventsBeforeFault);
}

async function crashWithinStream(run: Run): Promise<void> {
  await streamEvents(run, eventsBeforeFault);
  run.engine.crash();
}

/** Correct behaviour of the engines of each service. */
export const correctBehaviours: Readonly<Record<string, RunBehaviour>> = {
  [SoakService.desk]: (run) => respond(run),
  [SoakService.model]: (run) => streamEvents(run),
};

/** Faulty behaviours of the engines of each service; listed twice means twice as likely. */
export const misbehaviours: Readonly<Record<string, readonly RunBehaviour[]>> = {
  [SoakService.desk]: [
    truncateResponse,
    truncateResponse,
    respondTwice,
    respondTwice,
    sendExtraBytes,
    sendInvalidResponse,
    respondWithError,
    disconnectBeforeResponse,
    hang,
    crashEngine,
  ],
  [SoakService.model]: [
    truncateEvent,
    truncateEvent,
    stallStream,
    crashWithinStream,
    respondWithError,
    disconnectBeforeResponse,
    hang,
  ],
};
