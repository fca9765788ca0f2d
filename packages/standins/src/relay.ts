import { connect, createServer } from 'node:net';
import type { Server, Socket } from 'node:net';

/** How a relay handles its connections. */
export const RelayMode = {
  /** Forwards everything. */
  open: 'open',
  /** Closes existing connections, and closes new ones right after accepting them. */
  cut: 'cut',
  /** Keeps existing connections open but forwards nothing on them; new connections work. */
  silentExisting: 'silentExisting',
  /** Accepts connections but forwards nothing. */
  silent: 'silent',
  /** Stops listening and closes existing connections. */
  refused: 'refused',
  /** Forwards requests and drops responses. */
  responsesLost: 'responsesLost',
  /** Drops requests and forwards responses. */
  requestsLost: 'requestsLost',
  /** Forwards the first half of the next response data, then resets the connection. */
  truncated: 'truncated',
  /** Answers each request itself: too many requests. */
  turnedAway: 'turnedAway',
} as const;

/** One of the values of {@link RelayMode}. */
export type RelayMode = (typeof RelayMode)[keyof typeof RelayMode];

const tooManyRequests =
  'HTTP/1.1 429 Too Many Requests\r\ncontent-type: application/json\r\ncontent-length: 2\r\n\r\n{}';

interface Connection {
  readonly downstream: Socket;
  readonly upstream: Socket;
  muted: boolean;
}

/** Modes that close existing connections. */
const closingModes: readonly RelayMode[] = [RelayMode.cut, RelayMode.refused];
/** Modes that permanently stop forwarding on existing connections. */
const mutingModes: readonly RelayMode[] = [RelayMode.silent, RelayMode.silentExisting];

/** A TCP relay in front of one address that injects connection faults. */
export class Relay {
  private readonly connections = new Set<Connection>();

  private readonly server: Server;

  private mode: RelayMode = RelayMode.open;

  private port = 0;

  constructor(
    private readonly targetPort: number,
    /** Delay of all forwarded bytes, in milliseconds. */
    public delayMs = 0,
    private readonly host = '127.0.0.1',
  ) {
    this.server = createServer((downstream) => this.accept(downstream));
  }

  get address(): string {
    return `${this.host}:${this.port}`;
  }

  async start(port = 0): Promise<this> {
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, this.host, resolve);
    });
    const address = this.server.address();
    this.port = typeof address === 'object' && address ? address.port : port;
    return this;
  }

  /** Sets the mode of existing and new connections. */
  setMode(mode: RelayMode): void {
    this.mode = mode;
    if (closingModes.includes(mode)) {
      this.connections.forEach((connection) => this.close(connection));
    }
    this.connections.forEach((connection) => {
      Object.assign(connection, { muted: connection.muted || mutingModes.includes(mode) });
    });
    if (mode === RelayMode.refused) this.server.close();
    else if (!this.server.listening && this.port > 0) this.server.listen(this.port, this.host);
  }

  /** Resets existing connections. */
  reset(): void {
    this.connections.forEach((connection) => {
      connection.downstream.resetAndDestroy();
      this.close(connection);
    });
  }

  async stop(): Promise<void> {
    this.connections.forEach((connection) => this.close(connection));
    await new Promise<void>((resolve) => {
      this.server.close(() => resolve());
    });
  }

  private accept(downstream: Socket): void {
    if (this.mode === RelayMode.cut) {
      downstream.destroy();
      return;
    }
    const upstream = connect(this.targetPort, '127.0.0.1');
    const connection: Connection = { downstream, upstream, muted: this.mode === RelayMode.silent };
    this.connections.add(connection);
    this.forward(connection, downstream, upstream);
    this.forward(connection, upstream, downstream);
  }

  private forward(connection: Connection, from: Socket, to: Socket): void {
    from.setNoDelay(true);
    const droppingMode =
      from === connection.downstream ? RelayMode.requestsLost : RelayMode.responsesLost;
    from.on('data', (bytes) => {
      if (connection.muted) return;
      // Once bytes were dropped, nothing more is forwarded in that direction.
      if (this.mode === droppingMode) from.removeAllListeners('data').resume();
      else if (this.mode === RelayMode.turnedAway) {
        if (from === connection.downstream) from.write(tooManyRequests);
      } else if (this.mode === RelayMode.truncated && from === connection.upstream) {
        this.truncate(connection, bytes);
      } else if (this.delayMs > 0) setTimeout(() => to.write(bytes), this.delayMs);
      else to.write(bytes);
    });
    from.on('close', () => {
      if (connection.muted) return;
      // Delayed bytes still arrive before the close.
      setTimeout(() => {
        to.destroySoon();
        this.connections.delete(connection);
      }, this.delayMs);
    });
    from.on('error', () => undefined);
  }

  private truncate(connection: Connection, bytes: Buffer): void {
    connection.downstream.write(bytes.subarray(0, Math.ceil(bytes.length / 2)));
    connection.downstream.resetAndDestroy();
    this.close(connection);
  }

  private close(connection: Connection): void {
    this.connections.delete(connection);
    connection.downstream.destroy();
    connection.upstream.destroy();
  }
}
