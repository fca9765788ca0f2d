import { connect, createServer } from 'node:net';
import type { Server, Socket } from 'node:net';

/** How a relay treats its connections. */
export const RelayMode = {
  /** Passes everything on. */
  open: 'open',
  /** Ends connections and refuses new ones. */
  cut: 'cut',
  /** Keeps present connections open but passes nothing on them; new ones work. */
  silentOld: 'silentOld',
  /** Accepts connections but passes nothing. */
  silent: 'silent',
  /** Does not listen, and ends present connections. */
  refused: 'refused',
  /** Passes what callers send, and loses what comes back. */
  answersLost: 'answersLost',
  /** Loses what callers send, and passes what comes back. */
  requestsLost: 'requestsLost',
  /** Passes the first half of each part of an answer and resets the connection at once. */
  cutShort: 'cutShort',
} as const;

/** One of the values of {@link RelayMode}. */
export type RelayMode = (typeof RelayMode)[keyof typeof RelayMode];

interface Pair {
  readonly near: Socket;
  readonly far: Socket;
  muted: boolean;
}

/** Modes that end present connections. */
const endingModes: readonly RelayMode[] = [RelayMode.cut, RelayMode.refused];
/** Modes that silence present connections for good. */
const mutingModes: readonly RelayMode[] = [RelayMode.silent, RelayMode.silentOld];

/** A relay in front of one address that cuts or silences its connections. */
export class Relay {
  private readonly pairs = new Set<Pair>();

  private readonly server: Server;

  private mode: RelayMode = RelayMode.open;

  private port = 0;

  constructor(
    private readonly targetPort: number,
    /** Delay of all bytes, in milliseconds. */
    public delayMs = 0,
    private readonly host = '127.0.0.1',
  ) {
    this.server = createServer((near) => this.accept(near));
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

  /** Changes the treatment of present and new connections. */
  set(mode: RelayMode): void {
    this.mode = mode;
    if (endingModes.includes(mode)) this.pairs.forEach((pair) => this.end(pair));
    this.pairs.forEach((pair) => {
      Object.assign(pair, { muted: pair.muted || mutingModes.includes(mode) });
    });
    if (mode === RelayMode.refused) this.server.close();
    else if (!this.server.listening && this.port > 0) this.server.listen(this.port, this.host);
  }

  /** Resets present connections. */
  reset(): void {
    this.pairs.forEach((pair) => {
      pair.near.resetAndDestroy();
      this.end(pair);
    });
  }

  async stop(): Promise<void> {
    this.pairs.forEach((pair) => this.end(pair));
    await new Promise<void>((resolve) => {
      this.server.close(() => resolve());
    });
  }

  private accept(near: Socket): void {
    if (this.mode === RelayMode.cut) {
      near.destroy();
      return;
    }
    const far = connect(this.targetPort, '127.0.0.1');
    const pair: Pair = { near, far, muted: this.mode === RelayMode.silent };
    this.pairs.add(pair);
    this.pass(pair, near, far);
    this.pass(pair, far, near);
  }

  private pass(pair: Pair, from: Socket, to: Socket): void {
    from.setNoDelay(true);
    const lost = from === pair.near ? RelayMode.requestsLost : RelayMode.answersLost;
    from.on('data', (bytes) => {
      if (pair.muted) return;
      // A connection that has lost bytes passes nothing more in that direction.
      if (this.mode === lost) from.removeAllListeners('data').resume();
      else if (this.mode === RelayMode.cutShort && from === pair.far) this.cutShort(pair, bytes);
      else if (this.delayMs > 0) setTimeout(() => to.write(bytes), this.delayMs);
      else to.write(bytes);
    });
    from.on('close', () => {
      if (pair.muted) return;
      // What was delayed still arrives before the end.
      setTimeout(() => {
        to.destroySoon();
        this.pairs.delete(pair);
      }, this.delayMs);
    });
    from.on('error', () => undefined);
  }

  private cutShort(pair: Pair, bytes: Buffer): void {
    pair.near.write(bytes.subarray(0, Math.ceil(bytes.length / 2)));
    pair.near.resetAndDestroy();
    this.end(pair);
  }

  private end(pair: Pair): void {
    this.pairs.delete(pair);
    pair.near.destroy();
    pair.far.destroy();
  }
}
