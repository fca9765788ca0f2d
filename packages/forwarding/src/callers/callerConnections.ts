import type { ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { closeAfterResponse } from './closingSocket.js';
import { beforeHead } from './responseHead.js';

/** What is in progress on one connection. */
interface Connection {
  /** Requests that are being handled. */
  handling: number;
  /** Responses of handled requests that have not been handed to the operating system in full. */
  readonly unsent: Set<ServerResponse>;
  /** Bytes read when the last response had been sent; undefined before the first one. */
  bytesRead: number | undefined;
  /** Response to the latest request; undefined before the first one. */
  latest: ServerResponse | undefined;
  /** Whether the head of the latest response says that the connection closes. */
  isEnding: boolean;
}

/** Tracks the requests on callers' connections, so that only idle connections are closed. */
export class CallerConnections {
  private readonly connections = new Map<Socket, Connection>();

  private handling = 0;

  /** Connections and requests that have arrived so far. */
  private arrivals = 0;

  /** Whether the last response on each connection says that it closes. */
  private isDraining = false;

  /** Whether each connection is closed as soon as it is idle. */
  private isClosing = false;

  /** Number of requests that are being handled or whose responses have not been sent in full. */
  get activeRequests(): number {
    const open = [...this.connections.values()];
    return open.reduce((sum, { unsent }) => sum + unsent.size, this.handling);
  }

  /** Number of connections and requests that have arrived so far. */
  get arrivalCount(): number {
    return this.arrivals;
  }

  add(socket: Socket): void {
    this.arrivals += 1;
    this.connections.set(socket, {
      handling: 0,
      unsent: new Set(),
      bytesRead: undefined,
      latest: undefined,
      isEnding: false,
    });
    closeAfterResponse(socket);
    socket.once('close', () => this.connections.delete(socket));
  }

  /** From now on, the last response on each connection says that it closes. */
  startDraining(): void {
    this.isDraining = true;
  }

  /** Makes a response the last one on its connection if no later request has been read. */
  markLast(socket: Socket, response: ServerResponse): void {
    response.setHeader('connection', 'close');
    const connection = this.connections.get(socket);
    if (connection) connection.isEnding = true;
  }

  /**
   * Tracks a request; returns a function to call when it has been handled, or undefined if it can't be
   * answered because the response before it has said that the connection closes.
   */
  begin(socket: Socket, response: ServerResponse): (() => void) | undefined {
    const connection = this.connections.get(socket);
    this.arrivals += 1;
    if (connection?.isEnding) return undefined;
    this.handling += 1;
    if (connection) {
      connection.handling += 1;
      connection.latest = response;
    }
    beforeHead(response, () => {
      if (this.isDraining && connection?.latest === response) this.markLast(socket, response);
    });
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
    // The HTTP server closes it after its last response.
    if (!connection || connection.isEnding) return false;
    if (connection.handling > 0 || connection.unsent.size > 0) return false;
    return socket.writableLength === 0 && socket.bytesRead === connection.bytesRead;
  }
}
