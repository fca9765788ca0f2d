import type { Socket } from 'node:net';
import { createConnector } from '@laburnumstream/runtime';
import { Client } from 'undici';
import type { Dispatcher } from 'undici';
import { framingPerBodyByte, maxFramingBytes, maxHeaderBytes } from './responseBounds.js';

/** Timeout for establishing a connection, in milliseconds. */
const connectTimeoutMs = 400;
/** Idle timeout of a connection when the endpoint does not state one, in milliseconds. */
const defaultIdleTimeoutMs = 4_000;
/** Margin that is subtracted from the idle timeout that the endpoint states, in milliseconds. */
const idleMarginMs = 1_000;

/** Handler of a response whose framing is bounded. */
export interface FramedHandler extends Dispatcher.DispatchHandler {
  /** Bytes of the body that were received. */
  readonly bodyBytes: number;
  /** Called when `bytes`, all that is not of the body, are too many. */
  onFramingExceeded(bytes: number): void;
}

/** One connection to an endpoint, which carries one request at a time. */
export class EndpointConnection {
  private readonly client: Client;

  private socket: Socket | undefined;

  /** Handler of the last request. */
  private handler: FramedHandler | undefined;

  /** Bytes that were received before the last request. */
  private bytesBefore = 0;

  /** Number of requests that were sent on it. */
  private requestCount = 0;

  /** Monotonic time since when it has been idle, in milliseconds. */
  idleSince = 0;

  constructor(
    address: string,
    /** Called at least once when the connection has closed. */
    private readonly onClose: (connection: EndpointConnection) => void,
    onConnect: () => void,
  ) {
    this.client = new Client(`http://${address}`, {
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: defaultIdleTimeoutMs,
      keepAliveTimeoutThreshold: idleMarginMs,
      strictContentLength: true,
      maxHeaderSize: maxHeaderBytes,
      // The client itself destroys the socket of an aborted request.
      connect: createConnector(
        connectTimeoutMs,
        (socket) => {
          this.socket = socket;
          socket.once('connect', () => {
            onConnect();
            socket.on('readable', () => this.checkFraming());
          });
        },
        true,
      ),
    });
    this.client.on('disconnect', () => this.handleClose());
    this.client.on('connectionError', () => this.handleClose());
  }

  /** Whether it has carried a request before, so that the endpoint may have closed it since. */
  get isReused(): boolean {
    return this.requestCount > 1;
  }

  dispatch(options: Dispatcher.DispatchOptions, handler: FramedHandler): void {
    this.requestCount += 1;
    this.handler = handler;
    this.bytesBefore = this.parsedBytes;
    this.client.dispatch(options, handler);
  }

  /** Resets the connection; a request on it fails, and data still in transit is not delivered. */
  destroy(): void {
    // The client emits no event for a connection that has not been established.
    this.onClose(this);
    this.socket?.destroy();
    this.client.destroy().catch(() => undefined);
  }

  /** Bytes that the client has taken from the socket. */
  private get parsedBytes(): number {
    return this.socket ? this.socket.bytesRead - this.socket.readableLength : 0;
  }

  /** The client does not bound status lines, interim responses, empty lines and sizes of chunks. */
  private checkFraming(): void {
    const { handler } = this;
    if (!handler) return;
    const bytes = this.parsedBytes - this.bytesBefore - handler.bodyBytes;
    if (bytes > maxFramingBytes + framingPerBodyByte * handler.bodyBytes)
      handler.onFramingExceeded(bytes);
  }

  private handleClose(): void {
    this.onClose(this);
    this.client.destroy().catch(() => undefined);
  }
}
