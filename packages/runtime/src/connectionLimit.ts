import type { Socket } from 'node:net';

/** Interval at which the age of connections is counted, in milliseconds. */
const tickMs = 250;
/**
 * Number of intervals in which a connection that has sent no request may not be closed in favour of a new one.
 * Intervals are counted instead of time: a process that was paused has not read yet what has arrived meanwhile.
 */
const minAgeTicks = 4;

/**
 * Bounds the open connections of a server. At the bound, a new one takes the place of the one that has been
 * longest without its first request, or else of the one that has been idle for longest.
 */
export class ConnectionLimit {
  private tick = 0;

  /** Connections without a complete request, oldest first, and the tick of their arrival. */
  private readonly silent = new Map<Socket, number>();

  /** Connections that wait for a further request, longest idle first, and the tick of their last response. */
  private readonly idle = new Map<Socket, number>();

  private open = 0;

  private timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly maxConnections: number,
    /** Called for each connection that is closed to keep the bound. */
    private readonly onClose: (socket: Socket) => void = () => undefined,
  ) {}

  /** Adds a new connection; returns false if it has been closed, as there is no room. */
  add(socket: Socket): boolean {
    if (this.open >= this.maxConnections && !this.closeOldest()) {
      this.onClose(socket);
      socket.destroy();
      return false;
    }
    this.open += 1;
    this.timer ??= this.startTimer();
    this.silent.set(socket, this.tick);
    socket.once('close', () => {
      this.open -= 1;
      this.silent.delete(socket);
      this.idle.delete(socket);
      if (this.open === 0) this.stopTimer();
    });
    return true;
  }

  /** Records that a request has arrived on a connection. */
  markBusy(socket: Socket): void {
    this.silent.delete(socket);
    this.idle.delete(socket);
  }

  /** Records that all requests of a connection have been answered. */
  markIdle(socket: Socket): void {
    if (!socket.destroyed) this.idle.set(socket, this.tick);
  }

  private closeOldest(): boolean {
    return this.closeFirst(this.silent) || this.closeFirst(this.idle);
  }

  private closeFirst(connections: Map<Socket, number>): boolean {
    const [first] = connections;
    if (!first || this.tick - first[1] < minAgeTicks) return false;
    const [socket] = first;
    connections.delete(socket);
    this.onClose(socket);
    socket.destroy();
    return true;
  }

  private startTimer(): NodeJS.Timeout {
    return setInterval(() => {
      this.tick += 1;
    }, tickMs).unref();
  }

  private stopTimer(): void {
    clearInterval(this.timer);
    this.timer = undefined;
  }
}
