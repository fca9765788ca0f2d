import type { IncomingHttpHeaders } from 'node:http';
import {
  Aborted,
  Execution,
  InvalidStatus,
  ResponseTooLarge,
  isFinalStatus,
  isInterimStatus,
} from '@laburnumstream/common';
import { classifyResponse, containsStatusLine } from '@laburnumstream/decisions';
import type { FramedHeaders } from '@laburnumstream/decisions';
import { PacedReading } from '@laburnumstream/runtime';
import type { Dispatcher } from 'undici';
import type { ConnectionPool } from './connectionPool.js';
import type { EndpointConnection, FramedHandler } from './endpointConnection.js';
import type { ResponseHead } from '../callers/heads.js';
import type { HeaderCodec } from '../callers/headerCodec.js';
import { maxHeaderBytes } from './responseBounds.js';

/** Why a call to an endpoint failed. */
export const CallFault = {
  /** No connection was established, so nothing was sent. */
  connection: 'connection',
  /** This process did not send the request, as the endpoint was to get no more requests. */
  withheld: 'withheld',
  /** The connection ended, or sent something invalid, before the head of the response. */
  broken: 'broken',
  /** The response started but is incomplete. */
  truncated: 'truncated',
  /** The response is for another request. */
  crossed: 'crossed',
  /** This process aborted the call because the response, or its framing, is too large. */
  oversized: 'oversized',
  /** This process aborted the call because the endpoint sent nothing for too long. */
  silent: 'silent',
  /**
   * This process withdrew the call, as it could no longer start in time: the endpoint's weights are outdated, or it
   * drains, is evacuated or has left.
   */
  expired: 'expired',
  /** This process aborted the call for another reason. */
  aborted: 'aborted',
} as const;

/** One of the values of {@link CallFault}. */
export type CallFault = (typeof CallFault)[keyof typeof CallFault];

/** How the end of a response body is determined. */
export const Framing = {
  length: 'length',
  chunks: 'chunks',
  /** The body ends when the connection closes. */
  connection: 'connection',
} as const;

/** One of the values of {@link Framing}. */
export type Framing = (typeof Framing)[keyof typeof Framing];

/** Properties of a call's response, for logs. */
export interface CallStats {
  /** Undefined before the head of the response. */
  readonly framing: Framing | undefined;
  /** Bytes of the body that were received. */
  readonly bytes: number;
  /** Whether the connection has carried a request before. */
  readonly isReused: boolean;
}

/** Callbacks of a call. `onEnd` or `onFailure` is the last one. */
export interface CallObserver {
  onHead(status: number, head: ResponseHead, rawHeaders: readonly string[]): void;
  /** Throws `ResponseTooLarge` to give the response up. */
  onData(bytes: Buffer): void;
  onEnd(): void;
  onFailure(fault: CallFault, reason: string): void;
}

/** A request to send to an endpoint. */
export interface CallRequest {
  readonly method: string;
  readonly path: string;
  readonly id: string;
  /** Alternating names and values. */
  readonly headers: string[];
  readonly body: Buffer;
}

/** Error code of undici for headers that exceed its bound. */
const headersOverflowCode = 'UND_ERR_HEADERS_OVERFLOW';
/** Name of undici's errors for bytes that are no response; not all of them have a code. */
const parserErrorName = 'HTTPParserError';
const firstRedirectStatus = 300;

const chunkedPattern = /(^|,)\s*chunked\s*$/i;

function getFraming(headers: IncomingHttpHeaders): Framing {
  const coding = headers['transfer-encoding'];
  if (coding !== undefined) {
    return chunkedPattern.test(coding) ? Framing.chunks : Framing.connection;
  }
  return headers['content-length'] === undefined ? Framing.connection : Framing.length;
}

function decodeRawHeaders(raw: Dispatcher.DispatchController['rawHeaders']): string[] {
  if (!Array.isArray(raw)) return [];
  return raw.map((part) => (typeof part === 'string' ? part : part.toString('latin1')));
}

/** One request to an endpoint, on a connection of its own until it ends. */
export class EndpointCall implements FramedHandler {
  private controller: Dispatcher.DispatchController | undefined;

  private readonly connection: EndpointConnection;

  private hasBeenSent = false;

  private hasStarted = false;

  private hasEnded = false;

  /** Whether the response states the id of its request. */
  private hasRequestId = false;

  private framing: Framing | undefined;

  private bytes = 0;

  private readonly pace = new PacedReading();

  constructor(
    private readonly pool: ConnectionPool,
    private readonly request: CallRequest,
    maxIdleMs: number,
    private readonly codec: HeaderCodec,
    private readonly observer: CallObserver,
    /** Called with the head of each response that is for this request. */
    private readonly onHead: (status: number, head: ResponseHead) => void = () => undefined,
    /** Asked when the request is about to be written; its connection may have taken time. */
    private readonly maySend: () => boolean = () => true,
    /** Called with the id of a response to another request, which is dropped. */
    private readonly onForeignResponse: (responseId: string) => void = () => undefined,
  ) {
    this.connection = pool.acquire(maxIdleMs);
  }

  /** Whether any byte may have reached the endpoint. */
  get wasSent(): boolean {
    return this.hasBeenSent;
  }

  get requestId(): string {
    return this.request.id;
  }

  /** Bytes of the body that were received. */
  get bodyBytes(): number {
    return this.bytes;
  }

  /** Whether a part of the response's body has arrived, so that the request has started. */
  get hasContent(): boolean {
    return this.bytes > 0;
  }

  /** Properties of the response so far. */
  get stats(): CallStats {
    const { framing, bytes, connection } = this;
    return { framing, bytes, isReused: connection.isReused };
  }

  start(): void {
    const { method, path, headers, body } = this.request;
    const options = {
      method,
      path,
      headers,
      body: body.length > 0 ? body : null,
      blocking: false,
    };
    this.connection.dispatch(options, this);
  }

  /** Aborts the call; the endpoint sees its connection close. */
  abort(): void {
    if (this.hasEnded) return;
    this.hasEnded = true;
    this.controller?.abort(new Aborted());
    this.connection.destroy();
  }

  /** Aborts the call as one that has not started; reports it to the observer. */
  withdraw(reason: string): void {
    if (this.hasEnded) return;
    this.fail(this.hasBeenSent ? CallFault.expired : CallFault.withheld, reason);
    this.controller?.abort(new Aborted());
  }

  pause(): void {
    this.pace.pause();
  }

  resume(): void {
    this.pace.resume();
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    if (this.hasEnded) {
      controller.abort(new Aborted());
      return;
    }
    this.controller = controller;
    this.pace.attach(controller);
    if (!this.maySend()) {
      this.fail(CallFault.withheld, 'The endpoint takes no requests any more.');
      controller.abort(new Aborted());
      return;
    }
    this.hasBeenSent = true;
  }

  onResponseStart(
    controller: Dispatcher.DispatchController,
    status: number,
    headers: IncomingHttpHeaders,
    reason = '',
  ): void {
    // Interim responses (1xx) concern only this connection and are not forwarded.
    if (this.hasEnded || isInterimStatus(status)) return;
    // A caller can't tell what such a status means, and whether the request has run is not known.
    if (!isFinalStatus(status)) {
      this.fail(CallFault.broken, new InvalidStatus(status).message);
      return;
    }
    const head = this.codec.decodeResponseHead(headers);
    const rawHeaders = decodeRawHeaders(controller.rawHeaders);
    const isMixed = containsStatusLine(reason) || rawHeaders.some(containsStatusLine);
    if (isMixed || !this.isOwnResponse(status, head)) {
      this.fail(
        CallFault.crossed,
        `The response is for ${head.requestId ?? 'an unknown request'}.`,
      );
      return;
    }
    this.onHead(status, head);
    this.hasStarted = true;
    this.hasRequestId = head.requestId !== undefined;
    this.framing = getFraming(headers);
    this.observer.onHead(status, head, rawHeaders);
  }

  /**
   * Whether a response is for this request. One without an id can be a late second response to an
   * earlier request, unless this is the connection's first request. Refusals may lack an id: a late
   * second refusal after a response with an id can't be told from a refusal of this request.
   */
  private isOwnResponse(status: number, head: ResponseHead): boolean {
    const { requestId } = head;
    if (requestId !== undefined) return requestId === this.request.id;
    // It may be a copy of the response that was dropped.
    if (this.connection.hasDropped) return false;
    const { execution } = classifyResponse({ status, ...head });
    return !this.connection.isReused || execution === Execution.notRun;
  }

  onResponseData(_controller: Dispatcher.DispatchController, chunk: Buffer): void {
    // The parser emits an empty chunk when a call is resumed.
    if (this.hasEnded || chunk.length === 0) return;
    this.bytes += chunk.length;
    this.pace.recordPiece();
    try {
      this.observer.onData(chunk);
    } catch (error) {
      if (!(error instanceof ResponseTooLarge)) throw error;
      this.fail(CallFault.oversized, error.message);
    }
  }

  readResponseId(headers: FramedHeaders): string | undefined {
    return this.codec.decodeResponseHead(headers).requestId;
  }

  onForeign(responseId: string): void {
    if (!this.hasEnded) this.onForeignResponse(responseId);
  }

  onLost(reason: string): void {
    if (this.hasEnded) this.connection.destroy();
    else this.fail(CallFault.crossed, reason);
  }

  onFramingExceeded(bytes: number): void {
    if (this.hasEnded) this.connection.destroy();
    else this.fail(CallFault.oversized, `${bytes} bytes are not of the body`);
  }

  onResponseEnd(): void {
    if (this.hasEnded) return;
    this.hasEnded = true;
    // A late second response without an id could not be told from the response to the next request.
    if (this.hasRequestId && !this.connection.hasDropped) this.pool.release(this.connection);
    else this.connection.destroy();
    this.observer.onEnd();
  }

  onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
    if (this.hasEnded) return;
    if (!this.hasBeenSent) this.fail(CallFault.connection, error.message);
    else if ((error as { code?: string }).code === headersOverflowCode)
      this.fail(CallFault.oversized, `The headers are larger than ${maxHeaderBytes} bytes.`);
    else this.fail(this.findFault(error), error.message);
  }

  /** Returns the fault of a request that was sent and whose connection failed. */
  private findFault(error: Error): CallFault {
    if (this.hasStarted) return CallFault.truncated;
    // The dropped response did not end where it said, which tells nothing of this request.
    const isInvalid = error.name === parserErrorName;
    return isInvalid && this.connection.hasDropped ? CallFault.crossed : CallFault.broken;
  }

  private fail(fault: CallFault, reason: string): void {
    this.hasEnded = true;
    this.connection.destroy();
    this.observer.onFailure(fault, reason);
  }
}

/** Faults that this process caused to keep a bound; they tell nothing of the endpoint. */
const ownFaults: ReadonlySet<CallFault> = new Set([CallFault.withheld, CallFault.expired]);
/** Faults of calls that were not sent. */
const unsentFaults: ReadonlySet<CallFault> = new Set([CallFault.connection, CallFault.withheld]);

/** Whether the endpoint may have caused a fault. */
export function isEndpointFault(fault: CallFault): boolean {
  return !ownFaults.has(fault);
}

/** Returns whether a call with a fault may have been executed. */
export function executionOf(fault: CallFault): Execution {
  return unsentFaults.has(fault) ? Execution.notRun : Execution.unknown;
}

/** Whether a status is successful (2xx). */
export function isSuccess(status: number): boolean {
  return status >= 200 && status < firstRedirectStatus;
}
