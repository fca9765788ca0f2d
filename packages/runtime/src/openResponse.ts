import type { IncomingHttpHeaders } from 'node:http';
import {
  Aborted,
  InvalidStatus,
  ResponseTooLarge,
  isFinalStatus,
  isInterimStatus,
} from '@laburnumstream/common';
import type { Dispatcher } from 'undici';
import { ResponseBody } from './responseBody.js';

/** Maximum number of interim responses (1xx) to one request, each of which resets undici's timeout for the head. */
const maxInterimResponses = 64;

/** A response whose body is still arriving. Whoever does not read the body must cancel it. */
export interface OpenResponse {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly body: ResponseBody;
}

function toError(reason: unknown): Error {
  return reason instanceof Error ? reason : new Aborted(String(reason));
}

/** Receives one response; undici's own reader keeps each chunk that waits as a buffer of its own. */
class ResponseReceiver implements Dispatcher.DispatchHandler {
  readonly response: Promise<OpenResponse>;

  private resolve: (response: OpenResponse) => void = () => undefined;

  private reject: (error: Error) => void = () => undefined;

  private controller: Dispatcher.DispatchController | undefined;

  private body: ResponseBody | undefined;

  private interimResponses = 0;

  /** Why the request has ended or is not to be sent; undefined while it runs. */
  private end: Error | undefined;

  constructor(private readonly signal: AbortSignal | undefined) {
    this.response = new Promise((resolve, reject) => {
      this.resolve = resolve;
      this.reject = reject;
    });
    if (signal?.aborted) this.abortWithOwner();
    else signal?.addEventListener('abort', this.abortWithOwner, { once: true });
  }

  /** Whether the request has ended before it was sent. */
  get hasEnded(): boolean {
    return this.end !== undefined;
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.controller = controller;
    if (this.end) controller.abort(this.end);
  }

  onResponseStart(
    controller: Dispatcher.DispatchController,
    status: number,
    headers: IncomingHttpHeaders,
  ): void {
    if (isInterimStatus(status)) this.countInterimResponse(controller);
    else if (!isFinalStatus(status)) controller.abort(new InvalidStatus(status));
    else {
      this.body = new ResponseBody(controller);
      this.resolve({ status, headers, body: this.body });
    }
  }

  onResponseData(_controller: Dispatcher.DispatchController, chunk: Buffer): void {
    this.body?.push(chunk);
  }

  onResponseEnd(): void {
    this.stopListening();
    this.body?.complete();
  }

  onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
    this.fail(error);
  }

  /** Ends the request with an error; later ones change nothing. */
  fail(error: Error): void {
    if (this.end) return;
    this.end = error;
    this.stopListening();
    this.reject(error);
    this.body?.fail(error);
  }

  private readonly abortWithOwner = (): void => {
    const error = toError(this.signal?.reason);
    this.fail(error);
    this.controller?.abort(error);
  };

  private stopListening(): void {
    this.signal?.removeEventListener('abort', this.abortWithOwner);
  }

  private countInterimResponse(controller: Dispatcher.DispatchController): void {
    this.interimResponses += 1;
    if (this.interimResponses > maxInterimResponses)
      controller.abort(new ResponseTooLarge(`more than ${maxInterimResponses} interim responses`));
  }
}

/**
 * Sends a request and resolves with the response when its head has arrived. Rejects with the signal's reason, with
 * `InvalidStatus` for a status that is no final one, and with the error of the connection.
 */
export function openResponse(
  dispatcher: Dispatcher,
  options: Dispatcher.DispatchOptions,
  signal?: AbortSignal,
): Promise<OpenResponse> {
  const receiver = new ResponseReceiver(signal);
  try {
    if (!receiver.hasEnded) dispatcher.dispatch(options, receiver);
  } catch (error) {
    receiver.fail(toError(error));
  }
  return receiver.response;
}
