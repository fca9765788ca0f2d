import { ForeignResponseFilter } from '@laburnumstream/decisions';
import type { FramedHeaders } from '@laburnumstream/decisions';
import { createConnector } from '@laburnumstream/runtime';
import type { ResetAwareSocket } from '@laburnumstream/runtime';
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
  /** Id of the request; empty if it has none. */
  readonly requestId: string;
  /** Returns the id of the request that a response with such headers is for. */
  readResponseId(headers: FramedHeaders): string | undefined;
  /** Called when a response to another request begins to be dropped. */
  onForeign(responseId: string): void;
  /** Called when it turns out that the end of a dropped response is not known. */
  onLost(reason: string): void;
  /** Called when `bytes`, all that is not of the body, are too many. */
  onFramingExceeded(bytes: number): void;
}

/** One connection to an endpoint, which carries one request at a time. */
export class EndpointConnection {
  private readonly client: Client;

  private socket: ResetAwareSocket | undefined;

  /** Filter of the response to the last request. */
  private filter: ForeignResponseFilter | undefined;

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
          Object.assign(socket, { inputFilter: this.filter });
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

  /** Whether a response to another request was dropped, so that it is not to carry another request. */
  get hasDropped(): boolean {
    return this.filter?.hasDropped ?? false;
  }

  dispatch(options: Dispatcher.DispatchOptions, handler: FramedHandler): void {
    this.requestCount += 1;
    this.handler = handler;
    this.startFilter(handler);
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
    if (!this.socket) return 0;
    const { bytesRead, readableLength } = this.socket;
    return bytesRead - readableLength - (this.filter?.withheldBytes ?? 0);
  }

  /** Starts to drop responses to other requests, unless the client may have read a part of one. */
  private startFilter(handler: FramedHandler): void {
    const { socket } = this;
    const { requestId } = handler;
    const isAtStart = !socket || socket.readableLength === 0;
    const isFiltered = isAtStart && requestId !== '';
    this.filter = isFiltered
      ? new ForeignResponseFilter(requestId, (headers) => handler.readResponseId(headers), handler)
      : undefined;
    if (socket) Object.assign(socket, { inputFilter: this.filter });
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
