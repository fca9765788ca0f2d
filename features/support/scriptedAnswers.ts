import type { Socket } from 'node:net';

/** How an answer tells its end, with the part of its body that comes first and the rest. */
export interface ScriptedFraming {
  /** Headers of the answer. */
  readonly head: string;
  readonly part: string;
  readonly rest: string;
}

const chunkParts = { part: '5\r\nfirst\r\n', rest: '5\r\nother\r\n0\r\n\r\n' } as const;
const plainParts = { part: 'first', rest: 'other' } as const;

/** The body of each whole answer. */
export const wholeBody = 'firstother';

/** Heads and bodies of answers, by how they tell their end. */
export const framings: Readonly<Record<string, ScriptedFraming>> = {
  'a length': { head: 'Content-Length: 10', ...plainParts },
  'a length before close': { head: 'Content-Length: 10\r\nConnection: close', ...plainParts },
  chunks: { head: 'Transfer-Encoding: chunked', ...chunkParts },
  'chunks before close': {
    head: 'Transfer-Encoding: chunked\r\nConnection: close',
    ...chunkParts,
  },
  neither: { head: 'Connection: close', ...plainParts },
  'neither and no close': { head: 'X-Other: 1', ...plainParts },
  'another coding': { head: 'Transfer-Encoding: gzip', ...plainParts },
};

/** Framings whose answers end with their connection. */
export const unframed: readonly string[] = ['neither', 'neither and no close', 'another coding'];

/** Ends the connection of an answer of which the first part was sent. */
export type ScriptedEnding = (socket: Socket, rest: string) => void;

/** Time in which the first part of an answer arrives by itself, in milliseconds. */
const partMs = 30;
/** Pieces of an answer that is reset after many of them. */
const pieces = 64;

const later =
  (ending: ScriptedEnding): ScriptedEnding =>
  (socket, rest) => {
    setTimeout(() => ending(socket, rest), partMs);
  };

/** Ends of answers. */
export const endings: Readonly<Record<string, ScriptedEnding>> = {
  'all bytes': later((socket, rest) => socket.write(rest)),
  'a close': later((socket, rest) => socket.end(rest)),
  'a close before the end': later((socket) => socket.end()),
  'a reset before the end': later((socket) => socket.resetAndDestroy()),
  'a reset at once': (socket) => socket.resetAndDestroy(),
  'a reset after many pieces': (socket) => {
    for (let piece = 0; piece < pieces; piece += 1) socket.write(plainParts.part);
    setImmediate(() => socket.resetAndDestroy());
  },
};

/** Answers one request on a connection. */
export function sendScripted(socket: Socket, framing: string, ending: string, id?: string): void {
  const { head, part, rest } = framings[framing]!;
  const idLine = id === undefined ? '' : `Laburnumstream-Request-Id: ${id}\r\n`;
  socket.write(`HTTP/1.1 200 OK\r\n${idLine}${head}\r\n\r\n${part}`);
  endings[ending]!(socket, rest);
}
