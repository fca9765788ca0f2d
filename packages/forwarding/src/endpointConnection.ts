import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { Execution, Timeout } from '@laburnumstream/common';
import { Client } from 'undici';
import type { Dispatcher } from 'undici';

/** Longest time in which a connection is established, in milliseconds. */
const connectTimeoutMs = 400;
/** Time for which an idle connection is kept when the endpoint says nothing, in milliseconds. */
const idleMs = 4_000;
/** Part of the endpoint's own idle timeout that is not used, in milliseconds. */
const idleMarginMs = 1_000;

/** Bytes that may stand before a request and mean nothing. */
const probe = '\r\n';

/** One connection to an endpoint, which serves one request at a time. */
export class EndpointConnection {
  private readonly client: Client;

  private socket: Socket | undefined;

  private reset = false;

  private isEndWatched = false;

  /** Whether the connection still took bytes when the endpoint had ended it. */
  private tookProbe: Promise<boolean> | undefined;

  /** Requests that were sent on it. */
  private requests = 0;

  /** Monotonic time since when it has been idle, in milliseconds. */
  idleSince = 0;

  constructor(
    address: string,
    /** Called once when the connection has ended. */
    private readonly onEnd: (connection: EndpointConnection) => void,
    private readonly onConnect: () => void,
  ) {
    const [host = '', port = '0'] = address.split(':');
    this.client = new Client(`http://${address}`, {
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: idleMs,
      keepAliveTimeoutThreshold: idleMarginMs,
      strictContentLength: true,
      connect: (_options, callback) => this.open(host, Number(port), callback),
    });
    this.client.on('disconnect', () => this.ended());
    this.client.on('connectionError', () => this.ended());
  }

  /** Whether it has carried a request before, so that the endpoint may have closed it meanwhile. */
  get isReused(): boolean {
    return this.requests > 1;
  }

  /** An answer has begun whose end is that of the connection. */
  watchEnd(): void {
    this.isEndWatched = true;
  }

  /**
   * Whether the endpoint closed the connection, and did not reset it. A reset that comes together
   * with data looks like a close, but the connection takes no more bytes then.
   */
  async wasClosed(): Promise<boolean> {
    return !this.reset && (await this.tookProbe) === true;
  }

  dispatch(options: Dispatcher.DispatchOptions, handler: Dispatcher.DispatchHandler): void {
    this.requests += 1;
    this.client.dispatch(options, handler);
  }

  /** Ends the connection; a request on it fails. */
  destroy(): void {
    this.client.destroy().catch(() => undefined);
    this.socket?.destroy();
  }

  private open(
    host: string,
    port: number,
    callback: (...parameters: [error: null, socket: Socket] | [error: Error, socket: null]) => void,
  ): void {
    const socket = connect({ host, port, noDelay: true, allowHalfOpen: true });
    this.socket = socket;
    const timer = setTimeout(
      () => socket.destroy(new Timeout('No connection came to be.', Execution.notRun)),
      connectTimeoutMs,
    );
    let isOpen = false;
    socket.on('error', (error) => {
      this.reset = true;
      if (!isOpen) callback(error, null);
    });
    socket.once('end', () => {
      if (this.isEndWatched) this.tookProbe = EndpointConnection.takesProbe(socket);
    });
    socket.once('close', () => clearTimeout(timer));
    socket.once('connect', () => {
      isOpen = true;
      clearTimeout(timer);
      this.onConnect();
      callback(null, socket);
    });
  }

  private static takesProbe(socket: Socket): Promise<boolean> {
    return new Promise((resolve) => {
      socket.write(probe, (error) => resolve(!error));
    });
  }

  private ended(): void {
    this.onEnd(this);
    this.client.destroy().catch(() => undefined);
  }
}
