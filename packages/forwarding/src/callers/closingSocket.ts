import type { Socket } from 'node:net';

/** Time in which a caller may read the last response and close its side, in milliseconds. */
const lingerMs = 1_000;
/** Time in which a caller must have taken the last response, in milliseconds. */
const takeMs = 30_000;

/**
 * Makes the HTTP server end a connection after its last response and read on what the caller still
 * sends: closing it with unread bytes would reset it, and the caller could lose the response.
 */
export function closeAfterResponse(socket: Socket): void {
  let timer: NodeJS.Timeout | undefined;
  const destroyAfter = (ms: number): void => {
    clearTimeout(timer);
    timer = setTimeout(() => socket.destroy(), ms);
  };
  const destroySoon = (): void => {
    destroyAfter(takeMs);
    socket.end(() => {
      if (!socket.destroyed) destroyAfter(lingerMs);
    });
  };
  socket.once('close', () => clearTimeout(timer));
  Object.assign(socket, { destroySoon });
}
