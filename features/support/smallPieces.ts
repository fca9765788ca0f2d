import { buildHeaders } from '@laburnumstream/standins';
import type { Behaviour } from '@laburnumstream/standins';
import { sendRepeatedly } from './callerCrowd.js';

/** What an engine sends over and over after the head of a response. */
interface RepeatedPiece {
  readonly status?: string;
  readonly text: string;
  /** Whether each byte is a chunk of its own. */
  readonly inChunks?: boolean;
}

const blockBytes = 65_536;

/** The responses by the last part of the path that asks for them. */
const repeatedPieces: Readonly<Record<string, RepeatedPiece>> = {
  'empty-lines': { text: '\n' },
  comments: { text: ':\n\n' },
  events: { text: 'data:a\n\n' },
  'events-in-chunks': { text: 'data:a\n\n', inChunks: true },
  'one-event-in-chunks': { text: 'x', inChunks: true },
  'refusal-in-chunks': { status: '404 Not Found', text: 'x', inChunks: true },
};

function createBlock({ text, inChunks }: RepeatedPiece): Buffer {
  const piece = inChunks ? [...text].map((byte) => `1\r\n${byte}\r\n`).join('') : text;
  return Buffer.from(piece.repeat(Math.ceil(blockBytes / piece.length)));
}

/** Returns the behaviour for a path that ends with the name of repeated pieces. */
export function findPieces(path: string): Behaviour | undefined {
  const piece = repeatedPieces[path.slice(path.lastIndexOf('/') + 1)];
  if (!piece) return undefined;
  return (request, _response, engine) => {
    const headers = {
      ...buildHeaders(request, engine),
      'content-type': 'text/event-stream',
      ...(piece.inChunks ? { 'transfer-encoding': 'chunked' } : { connection: 'close' }),
    };
    const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`);
    request.socket.on('error', () => undefined);
    request.socket.write(`HTTP/1.1 ${piece.status ?? '200 OK'}\r\n${lines.join('')}\r\n`);
    sendRepeatedly(request.socket, createBlock(piece));
  };
}
