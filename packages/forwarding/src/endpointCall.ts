import type { IncomingHttpHeaders } from 'node:http';
import { Aborted, Execution } from '@laburnumstream/common';
import { classifyResponse } from '@laburnumstream/decisions';
import type { Dispatcher } from 'undici';
import type { ConnectionPool } from './connectionPool.js';
import type { EndpointConnection } from './endpointConnection.js';
import type { AnswerHead } from './heads.js';
import type { HeaderCodec } from './headerCodec.js';

/** How a call to an endpoint failed. */
export const CallFault = {
  /** No connection came to be; nothing was sent. */
  connection: 'connection',
  /** The connection ended, or its bytes were no answer, before the answer began. */
  broken: 'broken',
  /** The answer began and is not whole. */
  truncated: 'truncated',
  /** The answer belongs to another request. */
  crossed: 'crossed',
  /** The endpoint sent nothing for too long, so this process ended the call. */
  silent: 'silent',
  /** This process ended the call. */
  aborted: 'aborted',
} as const;

/** One of the values of {@link CallFault}. */
export type CallFault = (typeof CallFault)[keyof typeof CallFault];

/** What tells the end of an answer's body. */
export const Framing = {
  length: 'length',
  chunks: 'chunks',
  /** Neither: it ends with its connection. */
  connection: 'connection',
} as const;

/** One of the values of {@link Framing}. */
export type Framing = (typeof Framing)[keyof typeof Framing];

/** What a call has seen of its answer, for logs. */
export interface CallEvidence {
  /** Undefined before the answer has begun. */
  readonly framing: Framing | undefined;
  /** Bytes of the body. */
  readonly bytes: number;
  /** Whether the connection has carried another request before. */
  readonly isReused: boolean;
}

/** What a call tells its owner. After `ended` or `failed` it tells nothing more. */
export interface CallObserver {
  began(status: number, head: AnswerHead, rawHeaders: readonly string[]): void;
  data(bytes: Buffer): void;
  ended(): void;
  failed(fault: CallFault, reason: string): void;
}

/** A request as it is sent to an endpoint. */
export interface CallRequest {
  readonly method: string;
  readonly path: string;
  readonly id: string;
  /** Names and values in turn. */
  readonly headers: string[];
  readonly body: Buffer;
}

const firstFinalStatus = 200;
const firstErrorStatus = 300;

const chunkedPattern = /(^|,)\s*chunked\s*$/i;

function framingOf(headers: IncomingHttpHeaders): Framing {
  const coding = headers['transfer-encoding'];
  if (coding !== undefined) {
    return chunkedPattern.test(coding) ? Framing.chunks : Framing.connection;
  }
  return headers['content-length'] === undefined ? Framing.connection : Framing.length;
}

function textOf(raw: Dispatcher.DispatchController['rawHeaders']): string[] {
  if (!Array.isArray(raw)) return [];
  return raw.map((part) => (typeof part === 'string' ? part : part.toString('latin1')));
}

/** One request to an endpoint on one connection. */
export class EndpointCall implements Dispatcher.DispatchHandler {
  private controller: Dispatcher.DispatchController | undefined;

  private readonly connection: EndpointConnection;

  private sent = false;

  private hasBegun = false;

  private hasEnded = false;

  /** Whether the answer names its request. */
  private isNamed = false;

  private framing: Framing | undefined;

  private bytes = 0;

  constructor(
    private readonly pool: ConnectionPool,
    private readonly request: CallRequest,
    longestIdleMs: number,
    private readonly codec: HeaderCodec,
    private readonly observer: CallObserver,
  ) {
    this.connection = pool.take(longestIdleMs);
  }

  /** Whether any byte may have reached the endpoint. */
  get wasSent(): boolean {
    return this.sent;
  }

  /** What has been seen of the answer so far. */
  get evidence(): CallEvidence {
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

  /** Ends the call; the endpoint sees its connection close. */
  abort(): void {
    if (this.hasEnded) return;
    this.hasEnded = true;
    this.controller?.abort(new Aborted());
    this.connection.destroy();
  }

  pause(): void {
    this.controller?.pause();
  }

  resume(): void {
    this.controller?.resume();
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    if (this.hasEnded) {
      controller.abort(new Aborted());
      return;
    }
    this.controller = controller;
    this.sent = true;
  }

  onResponseStart(
    controller: Dispatcher.DispatchController,
    status: number,
    headers: IncomingHttpHeaders,
  ): void {
    // Interim answers concern only one connection.
    if (this.hasEnded || status < firstFinalStatus) return;
    this.controller = controller;
    const head = this.codec.decodeAnswerHead(headers);
    if (!this.isOwn(status, head)) {
      this.fail(CallFault.crossed, `The answer is for ${head.requestId ?? 'no named request'}.`);
      return;
    }
    this.hasBegun = true;
    this.isNamed = head.requestId !== undefined;
    this.framing = framingOf(headers);
    this.observer.began(status, head, textOf(controller.rawHeaders));
  }

  /**
   * Whether an answer is for this request. One without an id can be a late second answer to an earlier
   * request, unless this is the connection's first. Refusals need not have one: a late second refusal
   * after an answer with an id can't be told from this request's own.
   */
  private isOwn(status: number, head: AnswerHead): boolean {
    const { requestId } = head;
    if (requestId !== undefined) return requestId === this.request.id;
    const { execution } = classifyResponse({ status, ...head });
    return !this.connection.isReused || execution === Execution.notRun;
  }

  onResponseData(_controller: Dispatcher.DispatchController, chunk: Buffer): void {
    // The parser gives an empty chunk when a call resumes.
    if (this.hasEnded || chunk.length === 0) return;
    this.bytes += chunk.length;
    this.observer.data(chunk);
  }

  onResponseEnd(): void {
    if (this.hasEnded) return;
    this.hasEnded = true;
    // A late second answer without an id could not be told from the next request's.
    if (this.isNamed) this.pool.giveBack(this.connection);
    else this.connection.destroy();
    this.observer.ended();
  }

  onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
    if (this.hasEnded) return;
    if (!this.sent) this.fail(CallFault.connection, error.message);
    else this.fail(this.hasBegun ? CallFault.truncated : CallFault.broken, error.message);
  }

  private fail(fault: CallFault, reason: string): void {
    this.hasEnded = true;
    this.connection.destroy();
    this.observer.failed(fault, reason);
  }
}

/** Whether a status is a success. */
export function isSuccess(status: number): boolean {
  return status >= 200 && status < firstErrorStatus;
}
