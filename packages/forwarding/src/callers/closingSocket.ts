import type { Socket } from 'node:net';

/** Time in which a caller may read the last response and close its side, in milliseconds. */
const lingerMs = 1_000;

/**
 * Makes the HTTP server end a connection after its last response and read on what the caller still
 * sends: closing it with unread bytes would reset it, and the caller could lose the response.
 */
export function closeAfterResponse(socket: Socket): void {
  const destroySoon = (): void => {
    socket.end(() => {
      const timer = setTimeout(() => socket.destroy(), lingerMs);
      socket.once('close', () => clearTimeout(timer));
    });
  };
  Object.assign(socket, { destroySoon });
}
