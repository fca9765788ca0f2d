import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { head } from '@laburnumstream/standins';
import { eventText, eventsOf, plainAnswer } from './answers.js';
import { SoakService } from './shape.js';

const eventGapMs = 15;
const workMs = 12;

/** The engine on which a request runs. */
export interface RunningEngine {
  readonly id: string;
  /** Version of its weights. */
  readonly version: number;
  crash(): void;
  /** The version has changed within a run. */
  mixed(id: string, from: number, to: number): void;
}

/** A request that an engine runs. */
export interface Run {
  readonly id: string;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly engine: RunningEngine;
}

/** How an engine deals with a request that it runs. */
export type RunBehaviour = (run: Run) => void | Promise<void>;

/** How an answer tells its end. */
const Framing = { length: 'length', chunks: 'chunks', close: 'close' } as const;
type Framing = (typeof Framing)[keyof typeof Framing];

/** Some answers have no length and end with their connection. */
function framingOf(id: string): Framing {
  if (id.endsWith('7')) return Framing.close;
  return id.endsWith('3') ? Framing.chunks : Framing.length;
}

function writeHead({ request, response, engine }: Run, framing: Framing, length: number): void {
  const headers = head(request, engine);
  if (framing === Framing.length) headers['content-length'] = String(length);
  if (framing === Framing.close) {
    response.useChunkedEncodingByDefault = false;
    response.shouldKeepAlive = false;
  }
  response.writeHead(200, headers);
}

/** Answers whole, in two parts. */
async function answers(run: Run): Promise<void> {
  await sleep(workMs);
  const body = plainAnswer(run.id);
  const half = Math.floor(body.length / 2);
  writeHead(run, framingOf(run.id), body.length);
  run.response.write(body.slice(0, half));
  run.response.end(body.slice(half));
}

/** Streams all events from the one after the last that the caller has. */
async function streams({ id, request, response, engine }: Run, until = Infinity): Promise<void> {
  const { version } = engine;
  const headers = { ...head(request, engine), 'content-type': 'text/event-stream' };
  response.writeHead(200, { ...headers, 'laburnumstream-weight-versions': String(version) });
  const first = Number(request.headers['last-event-id'] ?? 0) + 1;
  const last = Math.min(until, eventsOf(id));
  for (let event = first; event <= last && !response.destroyed; event += 1) {
    if (engine.version !== version) engine.mixed(id, version, engine.version);
    response.write(eventText(id, event, version));
    await sleep(eventGapMs);
  }
  if (last === eventsOf(id)) response.end();
}

async function breaksOff(run: Run): Promise<void> {
  await sleep(workMs);
  const body = plainAnswer(run.id);
  writeHead(run, run.id.endsWith('3') ? Framing.chunks : Framing.length, body.length);
  run.response.write(body.slice(0, Math.floor(body.length / 2)));
  await sleep(workMs);
  run.response.destroy();
}

/** Answers that are sent once more when the next request comes on their connections. */
const lateAnswers = new WeakMap<Socket, string>();

/** Sends the answer that comes late on a connection, if there is one. */
export function sendLateAnswer(socket: Socket): void {
  const late = lateAnswers.get(socket);
  lateAnswers.delete(socket);
  if (late !== undefined && !socket.destroyed) socket.write(late);
}

async function answersTwice(run: Run): Promise<void> {
  const body = plainAnswer(run.id);
  const seal = `Laburnumstream-Request-Id: ${run.id}\r\nLaburnumstream-Server-Seal: twice`;
  const text = `HTTP/1.1 200 OK\r\n${seal}\r\nContent-Length: ${body.length}`;
  lateAnswers.set(run.request.socket, `${text}\r\n\r\n${body}`);
  await answers(run);
}

async function addsBytes(run: Run): Promise<void> {
  const { socket } = run.request;
  await answers(run);
  if (!socket.destroyed) socket.write('more bytes');
}

async function answersNonsense({ request }: Run): Promise<void> {
  await sleep(workMs);
  request.socket.end('no answer at all\r\n\r\n');
}

async function fails({ request, response, engine }: Run): Promise<void> {
  await sleep(workMs);
  response.writeHead(500, head(request, engine));
  response.end('failed');
}

async function breaksBeforeAnswer({ request }: Run): Promise<void> {
  await sleep(workMs);
  request.socket.destroy();
}

function hangs(): void {}

async function crashes({ engine }: Run): Promise<void> {
  await sleep(workMs);
  engine.crash();
}

const eventsBeforeFault = 3;

async function stopsWithinEvent(run: Run): Promise<void> {
  await streams(run, eventsBeforeFault);
  run.response.write('id: 4\nda');
  await sleep(eventGapMs);
  run.response.destroy();
}

async function stopsStreaming(run: Run): Promise<void> {
  await streams(run, eventsBeforeFault);
}

async function crashesWithinStream(run: Run): Promise<void> {
  await streams(run, eventsBeforeFault);
  run.engine.crash();
}

/** How engines of each service deal with requests as a rule. */
export const rightBehaviours: Readonly<Record<string, RunBehaviour>> = {
  [SoakService.desk]: answers,
  [SoakService.model]: (run) => streams(run),
};

/** What engines of each service may do wrong. */
export const misbehaviours: Readonly<Record<string, readonly RunBehaviour[]>> = {
  [SoakService.desk]: [
    breaksOff,
    breaksOff,
    answersTwice,
    answersTwice,
    addsBytes,
    answersNonsense,
    fails,
    breaksBeforeAnswer,
    hangs,
    crashes,
  ],
  [SoakService.model]: [
    stopsWithinEvent,
    stopsWithinEvent,
    stopsStreaming,
    crashesWithinStream,
    fails,
    breaksBeforeAnswer,
    hangs,
  ],
};
