import type { Socket } from 'node:net';

/** Framing headers of a response, and its body split into what is sent first and the remainder. */
export interface ResponseFraming {
  /** Header lines that frame the response, without the last line break. */
  readonly head: string;
  readonly part: string;
  readonly rest: string;
}

const chunkParts = { part: '5\r\nfirst\r\n', rest: '5\r\nother\r\n0\r\n\r\n' } as const;
const plainParts = { part: 'first', rest: 'other' } as const;

/** The decoded body of each complete response. */
export const wholeBody = 'firstother';

/** Framings by the names that step texts use. */
export const framings: Readonly<Record<string, ResponseFraming>> = {
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

/** Names of the framings whose bodies end when the connection closes. */
export const closeDelimited: readonly string[] = [
  'neither',
  'neither and no close',
  'another coding',
];

/** Ends a response of which the first part was sent. */
export type ResponseEnding = (socket: Socket, rest: string) => void;

/** Delay that lets the first part arrive separately, in milliseconds. */
const firstPartDelayMs = 30;
/** Writes before the reset of "a reset after many pieces". */
const piecesBeforeReset = 64;

const delayed =
  (ending: ResponseEnding): ResponseEnding =>
  (socket, rest) => {
    setTimeout(() => ending(socket, rest), firstPartDelayMs);
  };

/** Response endings by the names that step texts use. */
export const endings: Readonly<Record<string, ResponseEnding>> = {
  'all bytes': delayed((socket, rest) => socket.write(rest)),
  'a close': delayed((socket, rest) => socket.end(rest)),
  'a close before the end': delayed((socket) => socket.end()),
  'a reset before the end': delayed((socket) => socket.resetAndDestroy()),
  'a reset at once': (socket) => socket.resetAndDestroy(),
  'a reset after many pieces': (socket) => {
    for (let piece = 0; piece < piecesBeforeReset; piece += 1) socket.write(plainParts.part);
    setImmediate(() => socket.resetAndDestroy());
  },
};

/** Sends one scripted response; `id` is echoed as the request id unless it is undefined. */
export function sendScriptedResponse(
  socket: Socket,
  framing: string,
  ending: string,
  id?: string,
): void {
  const { head, part, rest } = framings[framing]!;
  const idLine = id === undefined ? '' : `Laburnumstream-Request-Id: ${id}\r\n`;
  socket.write(`HTTP/1.1 200 OK\r\n${idLine}${head}\r\n\r\n${part}`);
  endings[ending]!(socket, rest);
}
