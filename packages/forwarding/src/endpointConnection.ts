import type { Socket } from 'node:net';
import { createConnector } from '@laburnumstream/runtime';
import { Client } from 'undici';
import type { Dispatcher } from 'undici';

/** Longest time in which a connection is established, in milliseconds. */
const connectTimeoutMs = 400;
/** Time for which an idle connection is kept when the endpoint says nothing, in milliseconds. */
const idleMs = 4_000;
/** Part of the endpoint's own idle timeout that is not used, in milliseconds. */
const idleMarginMs = 1_000;

/** One connection to an endpoint, which serves one request at a time. */
export class EndpointConnection {
  private readonly client: Client;

  private socket: Socket | undefined;

  /** Requests that were sent on it. */
  private requests = 0;

  /** Monotonic time since when it has been idle, in milliseconds. */
  idleSince = 0;

  constructor(
    address: string,
    /** Called at least once when the connection has ended. */
    private readonly onEnd: (connection: EndpointConnection) => void,
    onConnect: () => void,
  ) {
    this.client = new Client(`http://${address}`, {
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: idleMs,
      keepAliveTimeoutThreshold: idleMarginMs,
      strictContentLength: true,
      connect: createConnector(connectTimeoutMs, (socket) => {
        this.socket = socket;
        socket.once('connect', onConnect);
      }),
    });
    this.client.on('disconnect', () => this.ended());
    this.client.on('connectionError', () => this.ended());
  }

  /** Whether it has carried a request before, so that the endpoint may have closed it meanwhile. */
  get isReused(): boolean {
    return this.requests > 1;
  }

  dispatch(options: Dispatcher.DispatchOptions, handler: Dispatcher.DispatchHandler): void {
    this.requests += 1;
    this.client.dispatch(options, handler);
  }

  /** Ends the connection; a request on it fails, and what of it is still under way is not delivered. */
  destroy(): void {
    // The client tells nothing of a connection that has not been established.
    this.onEnd(this);
    if (this.socket?.connecting) this.socket.destroy();
    else this.socket?.resetAndDestroy();
    this.client.destroy().catch(() => undefined);
  }

  private ended(): void {
    this.onEnd(this);
    this.client.destroy().catch(() => undefined);
  }
}
