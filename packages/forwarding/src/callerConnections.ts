import type { ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

/** What is in progress on one connection. */
interface Connection {
  /** Requests that are being handled. */
  handling: number;
  /** Responses of handled requests that have not been handed to the operating system in full. */
  readonly unsent: Set<ServerResponse>;
  /** Bytes read when the last response had been sent; undefined before the first one. */
  bytesRead: number | undefined;
}

/** Tracks the requests on callers' connections, so that only idle connections are closed. */
export class CallerConnections {
  private readonly connections = new Map<Socket, Connection>();

  private handling = 0;

  /** Whether each connection is closed as soon as it is idle. */
  private isClosing = false;

  /** Number of requests that are being handled or whose responses have not been sent in full. */
  get activeRequests(): number {
    const open = [...this.connections.values()];
    return open.reduce((sum, { unsent }) => sum + unsent.size, this.handling);
  }

  add(socket: Socket): void {
    this.connections.set(socket, { handling: 0, unsent: new Set(), bytesRead: undefined });
    socket.once('close', () => this.connections.delete(socket));
  }

  /** Tracks a request; returns a function to call when it has been handled. */
  begin(socket: Socket, response: ServerResponse): () => void {
    const connection = this.connections.get(socket);
    this.handling += 1;
    if (connection) connection.handling += 1;
    response.once('finish', () => {
      connection?.unsent.delete(response);
      if (connection) connection.bytesRead = socket.bytesRead;
      this.closeIfDue(socket);
    });
    return () => {
      this.handling -= 1;
      if (!connection) return;
      connection.handling -= 1;
      if (!response.writableFinished) connection.unsent.add(response);
      this.closeIfDue(socket);
    };
  }

  /** Closes idle connections, now and as soon as others become idle. */
  closeIdle(): void {
    this.isClosing = true;
    this.connections.forEach((_connection, socket) => this.closeIfDue(socket));
  }

  private closeIfDue(socket: Socket): void {
    // Ending the connection first would leave time to read a request that gets no response.
    if (this.isClosing && this.isIdle(socket)) socket.destroy();
  }

  /** Whether a connection's responses have been sent and nothing of a further request was read. */
  private isIdle(socket: Socket): boolean {
    const connection = this.connections.get(socket);
    if (!connection || connection.handling > 0 || connection.unsent.size > 0) return false;
    return socket.writableLength === 0 && socket.bytesRead === connection.bytesRead;
  }
}
