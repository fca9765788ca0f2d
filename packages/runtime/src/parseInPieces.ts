import type { Socket } from 'node:net';

/** Bytes that the parser of a connection is given at once. */
const pieceBytes = 1_024;

/**
 * Gives the HTTP server's parser of a connection what arrives in small pieces, and nothing once the connection is closed.
 * The server parses all that a read has brought, up to 64 KiB, even if its listener closes the connection at the first
 * request, and each request costs objects until the connection has ended. To be called when the server emits 'connection'.
 */
export function parseInPieces(socket: Socket): void {
  const parse = socket.listeners('data')[0] as (bytes: Buffer) => void;
  // With a further listener the server no longer lets its parser read the connection by itself.
  socket.on('data', (bytes: Buffer) => {
    for (let from = 0; from < bytes.length && !socket.destroyed; from += pieceBytes) {
      // The server pauses a connection whose responses are not read; its parser takes no more until then.
      if (socket.isPaused()) {
        socket.unshift(bytes.subarray(from));
        return;
      }
      parse(bytes.subarray(from, from + pieceBytes));
    }
  });
  socket.removeListener('data', parse);
}
